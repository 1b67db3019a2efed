//! A small deployment: a store, executors and processes of the system, and a caller.

use crate::{
    executor::{Executor, Profile, Started},
    http::{Connection, Response},
    json::quote,
    record::Record,
    site::{self, Folder, Node},
    store::Store,
};
use std::{io, net::SocketAddr, thread, time::Duration};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
const ZONE: &str = "hala-rez";

/// Cores that a task needs, in thousandths. An executor of [`EXECUTOR_CPU`] has room for one.
pub const TASK_CPU: u64 = 27_000;
pub const EXECUTOR_CPU: u64 = 32_000;

/// A running deployment.
pub struct Deployment {
    pub executors: Vec<Executor>,
    pub nodes: Vec<Node>,
    store: SocketAddr,
    folder: Folder,
    record: Record,
}

/// A job of one step whose caller waits for its end.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub tasks: u32,
    /// How long each task runs, which is also its estimate.
    pub ms: u64,
    /// A label that the executor must have, or nothing.
    pub requirements: String,
    /// How long the caller waits.
    pub budget_ms: u64,
}

impl Deployment {
    /// Starts a store, the executors and two processes, and waits until these are ready.
    pub fn start(record: &Record, profiles: &[Profile]) -> io::Result<Deployment> {
        let folder = Folder::create()?;
        let (store, address) = Store::start()?;
        store.put("op/config", &config());
        let start = |profile: &Profile| Executor::start(profile.clone(), &store, record);
        let executors = profiles.iter().map(start).collect::<io::Result<Vec<_>>>()?;
        let node = |name: &str| Node::start(name, ZONE, address, &folder.0);
        let nodes = vec![node("front-hala-rez-1")?, node("front-hala-rez-2")?];
        site::wait_until_ready(&nodes, record)?;
        // Executors are shared out among both once they know each other.
        thread::sleep(Duration::from_secs(2));
        Ok(Deployment { executors, nodes, store: address, folder, record: record.clone() })
    }

    /// Starts one more process.
    pub fn add_node(&mut self, name: &str) -> io::Result<()> {
        self.nodes.push(Node::start(name, ZONE, self.store, &self.folder.0)?);
        Ok(())
    }

    /// Starts a process in place of one that was killed, under its name.
    pub fn replace_node(&mut self, index: usize) -> io::Result<()> {
        let name = self.nodes[index].name.clone();
        self.nodes[index] = Node::start(&name, ZONE, self.store, &self.folder.0)?;
        Ok(())
    }

    /// Waits until all processes are ready and have shared out the executors.
    pub fn wait(&self) -> io::Result<()> {
        site::wait_until_ready(&self.nodes, &self.record)?;
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// All starts at the executors, in order.
    pub fn started(&self) -> Vec<Started> {
        let mut started: Vec<_> = self.executors.iter().flat_map(Executor::started).collect();
        started.sort_by_key(|started| started.at);
        started
    }
}

/// An executor of kind `a` in the deployment's service.
pub fn profile(id: &str, rack: &str) -> Profile {
    Profile {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        labels: ["a".to_owned(), rack.to_owned()],
        cpu: EXECUTOR_CPU,
    }
}

/// Submits a job on an open connection, and records what was sent and answered.
pub fn submit(record: &Record, connection: &mut Connection, job: &Job) -> io::Result<Response> {
    let Job { id, tasks, ms, requirements, budget_ms } = job;
    record.line(format!(
        "POST {id}: {tasks} tasks of {ms} ms on {TASK_CPU} thousandths, requirements \"{requirements}\"; the caller waits {budget_ms} ms"
    ));
    let answer = send(connection, job);
    match &answer {
        Ok((status, body)) => record.line(format!("answer to POST {id}: {status} {body}")),
        Err(error) => record.line(format!("no answer to POST {id}: {error}")),
    }
    answer
}

/// Submits a job on an open connection.
pub fn send(connection: &mut Connection, job: &Job) -> io::Result<Response> {
    let Job { id, tasks, ms, requirements, budget_ms } = job;
    let spec = quote(&format!(r#"{{"ms":{ms},"cpu":{TASK_CPU}}}"#));
    let requirements = match requirements.as_str() {
        "" => String::new(),
        label => format!(r#","requirements":{}"#, quote(label)),
    };
    let body = format!(
        r#"{{"spec":{spec},"best_effort":true,"steps":[{{"count":{tasks},"cpu":{TASK_CPU},"mem_mb":64,"estimated_ms":{ms}{requirements}}}]}}"#
    );
    let budget = budget_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Content-Type", "application/json"),
        ("X-Remaining-Milliseconds", budget.as_str()),
    ];
    let limit = Duration::from_millis(budget_ms + 1_000);
    connection.call("POST", &format!("{PREFIX}{id}"), &headers, &body, limit)
}

/// Asks for the length of the queue.
pub fn count(connection: &mut Connection, limit: Duration) -> io::Result<Response> {
    connection.call("GET", PREFIX, &[("Host", HOST)], "", limit)
}

/// Cancels a job with a DELETE.
pub fn cancel(record: &Record, address: SocketAddr, id: &str) -> io::Result<Response> {
    record.line(format!("DELETE {id}"));
    let mut connection = Connection::open(address)?;
    let path = format!("{PREFIX}{id}");
    let answer = connection.call("DELETE", &path, &[("Host", HOST)], "", Duration::from_secs(4))?;
    record.line(format!("answer to DELETE {id}: {} {}", answer.0, answer.1));
    Ok(answer)
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-3hwrr6x","host":"{HOST}","prefix":"{PREFIX}","kind":"unsafe","timeout_ms":10000,"target_duration_ms":200,"priority":0,"service":"{SERVICE}","max_attempts":4,"stretch":1.6}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"spare":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

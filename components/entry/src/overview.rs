//! Renders the views for operators as JSON.

use crate::Engine;
use dispatch::entry::{PeerView, PoolView};
use serde_json::{Value, json};
use server::backend::Overview;
use site::{Site, id::DataCentreId};

/// Renders the view `what` of an entry's state.
pub(crate) fn render(engine: &Engine, what: Overview) -> Value {
    let settings = engine.settings();
    let site = &settings.site;
    match what {
        Overview::Config => json!({ "revision": settings.revision, "site": &**site }),
        Overview::Executors => executors(engine, site),
        Overview::Firms => json!({
            "firms": site.firms.values().collect::<Vec<_>>(),
            "contracts": &site.contracts,
        }),
        Overview::Jobs => jobs(engine, site),
        Overview::Peers => peers(engine, site),
    }
}

fn executors(engine: &Engine, site: &Site) -> Value {
    let pools = engine.entry().overview().pools;
    json!({
        "executors": site.executors.values().collect::<Vec<_>>(),
        "workers": site.workers.values().collect::<Vec<_>>(),
        "in-use": pools.into_iter().flat_map(|pool| pool.endpoints).collect::<Vec<_>>(),
    })
}

fn jobs(engine: &Engine, site: &Site) -> Value {
    let overview = engine.entry().overview();
    json!({
        "open": overview.open,
        "routed": overview.routed,
        "waiting-callers": engine.waiters().len(),
        "draining": overview.draining,
        "pools": overview.pools.iter().map(|pool| load(pool, site)).collect::<Vec<_>>(),
    })
}

fn load(pool: &PoolView, site: &Site) -> Value {
    let service = site.services.get(&pool.service).map(|service| &service.name);
    json!({ "service": service, "queued": pool.queued, "running": pool.running })
}

fn peers(engine: &Engine, site: &Site) -> Value {
    let connected = engine.peers();
    let peer = |peer: &PeerView| {
        json!({
            "home": peer.home.to_string(),
            "data-centre": data_centre(site, peer.home.data_centre),
            "status": peer.status,
            "connected": connected.contains(&peer.home),
        })
    };
    let home = engine.home();
    json!({
        "home": home.to_string(),
        "data-centre": data_centre(site, home.data_centre),
        "peers": engine.entry().overview().peers.iter().map(peer).collect::<Vec<_>>(),
    })
}

fn data_centre(site: &Site, id: DataCentreId) -> Option<&str> {
    site.data_centres.get(&id).map(|data_centre| data_centre.name.as_str())
}

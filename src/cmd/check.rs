//! `primrosestep check`.

use crate::{
    cli::Folder,
    exit::{Error, Exit},
};
use console::Console;
use derive_more::Display;
use serde::Serialize;

/// Number of objects in a folder of settings, and its warnings.
#[derive(Debug, Display, Serialize)]
#[display(
    "{files} files: {data_centres} data centres, {services} services, {executors} executors, \
     {workers} workers, {firms} firms, {contracts} contracts"
)]
struct Summary {
    files: usize,
    data_centres: usize,
    services: usize,
    executors: usize,
    workers: usize,
    firms: usize,
    contracts: usize,
    warnings: Vec<String>,
}

/// Checks a folder of settings.
pub(crate) fn run(args: &Folder, console: &Console) -> Result<Exit, Error> {
    let folder = settings::load(&args.dir)?;
    let site = &folder.checked.site;
    let warnings = &folder.checked.warnings.findings;
    for warning in warnings {
        console.note(warning);
    }
    console.print(&Summary {
        files: folder.files.len(),
        data_centres: site.data_centres.len(),
        services: site.services.len(),
        executors: site.executors.len(),
        workers: site.workers.len(),
        firms: site.firms.len(),
        contracts: site.contracts.len(),
        warnings: warnings.iter().map(ToString::to_string).collect(),
    });
    Ok(Exit::Done)
}

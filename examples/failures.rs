//! Provokes failed requests on loopback, one for each cause, writes the instances' logs to a folder, and prints the trace of each
//! request.
//!
//! Instances are separate processes: this program starts itself again with the arguments of `poplarknot dispatch`.
#![allow(dead_code)] // The modules shared with the tests have more than this example uses.

#[path = "../tests/platform/endpoint.rs"]
mod endpoint;
#[path = "../tests/platform/fleet.rs"]
mod fleet;
#[path = "../tests/trace/incidents.rs"]
mod incidents;
#[path = "../tests/platform/store.rs"]
mod store;
#[path = "../tests/support.rs"]
mod support;

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use incidents::Incident;
use support::Result;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments
        .first()
        .is_some_and(|argument| argument == "dispatch")
    {
        return poplarknot::cli::run(arguments);
    }
    let [folder] = arguments.as_slice() else {
        eprintln!("error: name the folder for the logs");
        return ExitCode::FAILURE;
    };
    let runtime = tokio::runtime::Runtime::new();
    let result = runtime
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(run_incidents(Path::new(folder))));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the four incidents one after the other, each with logs in a folder of its own under `folder`.
async fn run_incidents(folder: &Path) -> Result {
    let program = std::env::current_exe()?;
    write_logs_and_trace(
        &folder.join("lost-instance"),
        &incidents::lose_instance(&program).await?,
    )?;
    write_logs_and_trace(
        &folder.join("lost-endpoint"),
        &incidents::lose_endpoint(&program).await?,
    )?;
    write_logs_and_trace(
        &folder.join("overload"),
        &incidents::overload(&program).await?,
    )?;
    write_logs_and_trace(
        &folder.join("lost-store"),
        &incidents::lose_store(&program).await?,
    )
}

/// Writes an incident's logs to `folder`, and prints the trace of its job from them.
fn write_logs_and_trace(folder: &Path, incident: &Incident) -> Result {
    std::fs::create_dir_all(folder)?;
    let mut logs: Vec<PathBuf> = Vec::new();
    for log in &incident.logs {
        let path = folder.join(format!("{}.log", log.instance));
        std::fs::write(&path, &log.text)?;
        logs.push(path);
    }
    println!("# The caller saw {}.", incident.response);
    println!(
        "$ poplarknot trace {} {}/*.log",
        incident.job,
        folder.display()
    );
    let logs = logs.iter().map(|path| path.display().to_string());
    let arguments = ["trace".to_owned(), incident.job.clone()]
        .into_iter()
        .chain(logs);
    poplarknot::cli::run(arguments);
    println!();
    Ok(())
}

//! Plays requests that fail on loopback, each for a cause of its own, keeps the logs in a folder, and tells each one's story.
//!
//! The instances are processes of their own: this program starts itself again in their place.
#![allow(dead_code)] // The tests use more of the stand-ins.

#[path = "../tests/platform/fleet.rs"]
mod fleet;
#[path = "../tests/trace/incidents.rs"]
mod incidents;
#[path = "../tests/platform/runner.rs"]
mod runner;
#[path = "../tests/platform/store.rs"]
mod store;
#[path = "../tests/support.rs"]
mod support;

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use incidents::Incident;
use support::Result;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "dispatch") {
        return poplarknot::cli::run(arguments);
    }
    let [folder] = arguments.as_slice() else {
        eprintln!("error: name the folder for the logs");
        return ExitCode::FAILURE;
    };
    let runtime = tokio::runtime::Runtime::new();
    let played = runtime
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(play(Path::new(folder))));
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn play(folder: &Path) -> Result {
    let program = std::env::current_exe()?;
    tell(
        &folder.join("lost-instance"),
        &incidents::lost_instance(&program).await?,
    )?;
    tell(
        &folder.join("lost-endpoint"),
        &incidents::lost_endpoint(&program).await?,
    )?;
    tell(
        &folder.join("overload"),
        &incidents::overload(&program).await?,
    )?;
    tell(
        &folder.join("lost-store"),
        &incidents::lost_store(&program).await?,
    )
}

/// Keeps an incident's logs, and tells its story from them.
fn tell(folder: &Path, incident: &Incident) -> Result {
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

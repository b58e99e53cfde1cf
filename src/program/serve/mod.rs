//! `poppykeel serve`: runs a node until SIGTERM or SIGINT.
//!
//! [`serve`] creates the runtime, `node` starts the tasks of the node, `reload` replaces its settings at SIGHUP and
//! `shutdown` stops it gracefully. All tasks of a node share one thread.

mod error;
mod listeners;
mod node;
mod reload;
mod shutdown;
mod signals;

pub use error::{ReloadError, ServeError};

use super::config::operator::OperatorConfig;
use super::config::NodeConfig;
use super::files::SettingsFileError;
use node::Node;
use signals::{NodeSignal, NodeSignals};
use tokio::task::LocalSet;

/// For tests only: if this environment variable has the id of the parent process, this process is killed when the parent
/// ends for any reason.
const END_WITH_PARENT_VARIABLE: &str = "POPPYKEEL_TEST_WITH_PARENT";
/// The exit code after a panic: the one that Rust uses for a panic in the main thread.
const PANIC_EXIT_CODE: i32 = 101;

/// All settings that a node starts with or reloads.
pub struct ServeSettings {
    /// The node configuration.
    pub node: NodeConfig,
    /// The operator file; its defaults if none is given.
    pub operator: OperatorConfig,
}

/// Runs a node until it has received a signal to shut down and all its requests have ended. `reread_settings` reads the
/// settings files again at SIGHUP.
///
/// # Errors
/// If the node can't start.
pub fn serve(
    settings: ServeSettings,
    reread_settings: impl Fn() -> Result<ServeSettings, SettingsFileError>,
) -> Result<(), ServeError> {
    if let Ok(parent) = std::env::var(END_WITH_PARENT_VARIABLE) {
        let kill = Some(rustix::process::Signal::KILL);
        rustix::process::set_parent_process_death_signal(kill).map_err(|error| {
            ServeError::ParentDeathSignal {
                variable: END_WITH_PARENT_VARIABLE,
                source: error.into(),
            }
        })?;
        // If the parent ended before the signal was set, the signal is never delivered, so the node does not start.
        let current = rustix::process::getppid().map(rustix::process::Pid::as_raw_pid);
        if current.map(|id| id.to_string()) != Some(parent) {
            return Ok(());
        }
    }
    exit_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings, reread_settings))
}

/// Makes a panic in any task end the process. The runtime would otherwise catch the panic, and the node would continue
/// without that task.
fn exit_on_panic() {
    let report_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report_panic(panic);
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

async fn run(
    settings: ServeSettings,
    reread_settings: impl Fn() -> Result<ServeSettings, SettingsFileError>,
) -> Result<(), ServeError> {
    let mut signals = NodeSignals::install()?;
    let mut node = Node::start(settings).await?;
    while signals.next().await == NodeSignal::Reload {
        node.reload(&reread_settings).await;
    }
    node.shut_down().await;
    Ok(())
}

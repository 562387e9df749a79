//! Threads of a process: one for control state and a pool for traffic.

use tokio::runtime::{Builder, Runtime};

use crate::error::DaemonError;

/// Starts the runtime of the traffic threads.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn traffic_runtime(threads: usize) -> Result<Runtime, DaemonError> {
    let built = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    Ok(built?)
}

/// Starts the control thread and runs the future that `make` returns on it.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn control_thread<F>(make: impl FnOnce() -> F + Send + 'static) -> Result<(), DaemonError>
where
    F: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("control".into()).spawn(move || runtime.block_on(make()))?;
    Ok(())
}

//! Timeouts that don't count time in which the waiting thread itself stood still.
//!
//! On a busy machine a thread may run long after its timer was due. The answers that have arrived by then are still unread in its
//! sockets, so that a plain timeout would report a peer as silent that has answered.

mod estimator;

use std::{
    fmt,
    future::Future,
    pin::pin,
    time::Duration, //
};

use tokio::time::{
    sleep,
    Instant, //
};

pub use estimator::Estimator;

/// The number of parts into which a timeout is divided. Each is counted with its own length, however late it ends.
const PARTS: u32 = 4;

/// A future didn't complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub struct Expired {
    /// The timeout.
    pub limit: Duration,
    /// How much longer than that the future was awaited, since the thread ran late.
    pub late: Duration,
}

impl fmt::Display for Expired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no answer in {} s", self.limit.as_secs_f64())?;
        if self.late > self.limit / PARTS {
            let late = self.late.as_millis();
            write!(f, ", in which this thread ran {late} ms late")?;
        }
        Ok(())
    }
}

/// Waits for a future, at most for `limit` and as long as the thread was late.
///
/// # Errors
///
/// Fails if the future didn't complete in time.
pub async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, Expired> {
    let mut future = pin!(future);
    let started = Instant::now();
    for _ in 0..PARTS {
        tokio::select! {
            biased;
            output = &mut future => return Ok(output),
            () = sleep(limit / PARTS) => {}
        }
    }
    Err(Expired {
        limit,
        late: started.elapsed().saturating_sub(limit),
    })
}

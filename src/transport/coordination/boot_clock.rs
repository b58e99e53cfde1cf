//! The clock of leases. It keeps running while the machine sleeps, so that a lease does not last longer for a node that
//! slept.

use poppykeel_coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// For tests only: rate error of this process's lease clock in parts per million; below 0 it runs slow.
const TEST_RATE_VARIABLE: &str = "POPPYKEEL_TEST_CLOCK_PPM";

/// A clock that counts microseconds from an arbitrary origin, the same for all processes of a machine.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Rate error in parts per million; 0 except in tests.
    rate_error_ppm: i64,
}

impl BootClock {
    /// The machine's clock, with the rate error that a test has set.
    pub fn start() -> Self {
        let rate_error_ppm = std::env::var(TEST_RATE_VARIABLE)
            .ok()
            .and_then(|ppm| ppm.parse().ok())
            .unwrap_or(0);
        BootClock { rate_error_ppm }
    }

    /// The current time of this clock, in microseconds.
    pub fn now(self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        let micros = i128::from(now.tv_sec) * 1_000_000 + i128::from(now.tv_nsec) / 1000;
        let scaled = micros + micros * i128::from(self.rate_error_ppm) / 1_000_000;
        Micros::try_from(scaled).unwrap_or(0)
    }
}

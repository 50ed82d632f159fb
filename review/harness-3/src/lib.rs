//! Small stand-ins for the platform's store and duties, backend servers and clients, and a starter
//! of gateways, for the cases of the review. They use threads of this process and loopback
//! addresses only; the gateways are separate processes.

pub mod client;
pub mod gateway;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

/// Returns whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps until a time after the start of the record.
pub fn sleep_until(at_ms: u64) {
    let now = record::now_ms();
    std::thread::sleep(std::time::Duration::from_millis(at_ms.saturating_sub(now)));
}

/// Sleeps for milliseconds.
pub fn pause(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

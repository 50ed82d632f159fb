//! Acquires, renews and releases the lease of one duty.

use std::time::{Duration, Instant};

use pomeloridge_base::clock::Stamp;
use pomeloridge_base::id::{Epoch, Era, Name, Revision};

use crate::authority::Authority;
use crate::client::Client;
use crate::confirmed_put::{PutOutcome, new_nonce};
use crate::error::PlatformError;
use crate::lease::{
    Lease, LeaseConfig, MissingLease, Ownership, SentWrite, is_outdated, is_renewal_due, may_take,
    may_take_lost, next_epoch, ownership, shows_restore,
};
use crate::object::{Expect, Object};
use crate::observation::Observation;
use crate::records::{LeaseRecord, encode, parse};

/// A call about a lease times out after 1/N of the term.
const CALLS_PER_TERM: u32 = 4;
/// Steps per term.
const STEPS_PER_TERM: u32 = 9;
/// Longest pause between steps, so that a planned stop is noticed in time.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Attempts to release a lease; a late renewal can make the first one conflict.
const RELEASE_ATTEMPTS: usize = 2;

/// The latest known version of a lease that this node holds.
struct Held {
    version: Revision,
    lease: Lease,
    /// Term of the lease before this tenure.
    old_term: Duration,
    /// Taken before the last confirmed renewal was sent.
    renewed: Option<Stamp>,
}

/// Acquires and renews a lease, one step at a time.
pub struct LeaseManager {
    client: Client,
    config: LeaseConfig,
    authority: Authority,
    held: Option<Held>,
    observation: Observation,
    /// Writes that may still be found in the object.
    sent: Vec<SentWrite>,
    /// Highest epoch seen, so that epochs increase even if the object is deleted.
    highest: Epoch,
    /// Lowest era in which the lease was held, as far as is known.
    first_era: Era,
    /// Whether the last step failed.
    is_failing: bool,
}

/// Maintains a lease until `stopping` returns true, then releases it.
pub async fn maintain_lease(mut lease: LeaseManager, stopping: impl Fn() -> bool) {
    let pause = (lease.config.term / STEPS_PER_TERM).min(MAX_PAUSE);
    while !stopping() {
        lease.step().await;
        monoio::time::sleep(pause).await;
    }
    lease.release().await;
}

impl LeaseManager {
    /// Creates a manager that does not hold the lease yet.
    pub fn new(client: &Client, config: LeaseConfig) -> Self {
        Self {
            client: client.with_max_timeout(config.term / CALLS_PER_TERM),
            authority: Authority::new(client.clock().clone()),
            config,
            held: None,
            observation: Observation::default(),
            sent: Vec::new(),
            highest: Epoch::default(),
            first_era: Era::MAX,
            is_failing: false,
        }
    }

    /// Returns the authority granted by the lease.
    pub fn authority(&self) -> Authority {
        self.authority.clone()
    }

    /// Returns the latest version of the lease that this node has written, for the nodes that may
    /// take it over; `None` without authority.
    pub fn written_version(&self) -> Option<Revision> {
        let held = self.held.as_ref().filter(|_| self.authority.holds());
        held.map(|held| held.version)
    }

    /// Records a version of the lease that its holder has told of, received at `heard`.
    ///
    /// It counts like one that was read at that time: if a later read finds the same version, the
    /// lease has not been written in between.
    pub fn record_told(&mut self, version: Revision, heard: Instant) {
        self.observation.record_told(version, heard);
    }

    /// Returns the time until the lease may be taken over if it stays at the version that was
    /// last seen.
    pub fn takeover_delay(&self) -> Duration {
        let unchanged_for = self.observation.unchanged_for(self.client.clock().now());
        let wait = self.config.term.saturating_add(self.config.margin);
        wait.saturating_sub(unchanged_for)
    }

    /// Renews the lease if it is held and due; acquires it if it is free.
    pub async fn step(&mut self) {
        let clock = self.client.clock().clone();
        self.sent
            .retain(|sent| clock.elapsed(sent.stamp) < self.config.term);
        let result = match &self.held {
            Some(held) => {
                let is_due = |stamp| is_renewal_due(clock.elapsed(stamp), self.config.term);
                if held.renewed.is_none_or(is_due) {
                    self.renew().await
                } else {
                    Ok(())
                }
            }
            None => self.try_acquire().await,
        };
        self.log_failures(result.as_ref().err());
    }

    /// Ends the authority and releases the lease, so that another node may take it at once.
    pub async fn release(&mut self) {
        // Authority ends before the write is sent, as the next holder may act as soon as
        // the write takes effect.
        self.authority.end();
        for _ in 0..RELEASE_ATTEMPTS {
            let Some(held) = self.held.take() else { return };
            let lease = Lease {
                holder: Name::default(),
                nonce: new_nonce(),
                ..held.lease
            };
            let outcome = self.write(&lease, Expect::Version(held.version)).await;
            let duty = &self.config.duty;
            log::info!(
                "lease duty={duty} epoch={} choice=give_up outcome={outcome:?}",
                lease.epoch
            );
            if let Ok(PutOutcome::Conflict(Some(object))) = outcome {
                let _ = self.apply(&object);
                self.authority.end();
            }
        }
    }

    async fn renew(&mut self) -> Result<(), PlatformError> {
        let Some(held) = &self.held else {
            return Ok(());
        };
        let lease = self
            .config
            .lease(held.lease.epoch, new_nonce(), self.first_era);
        let (expect, old_term) = (Expect::Version(held.version), held.old_term);
        self.write_own(lease, expect, old_term).await
    }

    async fn try_acquire(&mut self) -> Result<(), PlatformError> {
        let found = self.client.get(&self.config.key()).await?;
        let lease = found.as_ref().map(|object| self.apply(object));
        let lease = lease.transpose()?.flatten();
        if self.held.is_some() {
            return Ok(());
        }
        // A missing object counts as version 0 of the era.
        let missing = Revision::in_era(self.client.era(), 0);
        let version = found.as_ref().map_or(missing, |object| object.version);
        self.observation.record(version, self.client.clock().now());
        let unchanged_for = self.observation.unchanged_for(self.client.clock().now());
        let is_allowed = if self.is_lost(lease.as_ref(), version) {
            let is_last_holder =
                self.authority.holds() && self.authority.epoch().era() < version.era();
            is_last_holder || may_take_lost(lease.as_ref(), &self.config, unchanged_for)
        } else {
            may_take(lease.as_ref(), &self.config, unchanged_for)
        };
        if !is_allowed {
            return Ok(());
        }
        let epoch = next_epoch(self.highest, version);
        let old_term = lease.as_ref().map_or(self.config.term, |lease| lease.term);
        log::info!(
            "lease duty={} epoch={epoch} choice=take from={:?} seen_ms={} term_ms={}",
            self.config.duty,
            lease.map(|lease| lease.holder),
            unchanged_for.as_millis(),
            old_term.as_millis()
        );
        let own = self.config.lease(epoch, new_nonce(), self.first_era);
        self.write_own(own, Expect::unchanged(found.as_ref()), old_term)
            .await
    }

    /// Returns whether the service may have lost the last writes of the lease.
    fn is_lost(&self, lease: Option<&Lease>, version: Revision) -> bool {
        match lease {
            Some(lease) => is_outdated(lease, version),
            None => {
                self.config.when_missing == MissingLease::NeverHeld
                    && self.client.lost_before().is_some()
            }
        }
    }

    /// Writes this node's lease and applies the outcome.
    async fn write_own(
        &mut self,
        lease: Lease,
        expect: Expect,
        old_term: Duration,
    ) -> Result<(), PlatformError> {
        // Authority counts from before the call is sent: a node that waits for its end
        // can only have seen the write later than this.
        let stamp = self.client.clock().stamp();
        self.sent.push(SentWrite {
            nonce: lease.nonce.clone(),
            stamp,
            old_term,
        });
        let outcome = match self.write(&lease, expect).await {
            Err(PlatformError::NotFound) => PutOutcome::Conflict(None),
            outcome => outcome?,
        };
        match outcome {
            PutOutcome::Written(version) if is_outdated(&lease, version) => self.drop_outdated(),
            PutOutcome::Written(version) => self.hold(version, lease, Some(stamp), old_term),
            PutOutcome::Conflict(Some(object)) | PutOutcome::Unconfirmed(Some(object)) => {
                self.apply(&object)?;
            }
            // The object is missing or could not be read; the next step reads it again.
            PutOutcome::Conflict(None) if self.client.era() > lease.epoch.era() => {
                self.drop_outdated();
            }
            PutOutcome::Conflict(None) => self.lose("the lease object is gone"),
            PutOutcome::Unconfirmed(None) => {}
        }
        Ok(())
    }

    async fn write(&self, lease: &Lease, expect: Expect) -> Result<PutOutcome, PlatformError> {
        let value = encode(&LeaseRecord::from(lease))?;
        let key = self.config.key();
        self.client.put_confirmed(&key, value, expect).await
    }

    /// Applies an object that was read; returns the lease if it is not this node's.
    fn apply(&mut self, object: &Object) -> Result<Option<Lease>, PlatformError> {
        let lease = Lease::from(parse::<LeaseRecord>(&object.value)?);
        self.highest = self.highest.max(lease.epoch);
        self.first_era = self.first_era.min(lease.first_era);
        if shows_restore(&lease, object.version) {
            self.client.record_restored();
        }
        if is_outdated(&lease, object.version) {
            self.drop_outdated();
            return Ok(Some(lease));
        }
        match ownership(&lease, &self.config, &self.sent) {
            Ownership::Own(sent) => {
                let old_term = sent.as_ref().map_or(lease.term, |sent| sent.old_term);
                let stamp = sent.map(|sent| sent.stamp);
                self.hold(object.version, lease, stamp, old_term);
                Ok(None)
            }
            Ownership::Other => {
                self.lose("another node holds the lease");
                Ok(Some(lease))
            }
        }
    }

    fn hold(&mut self, version: Revision, lease: Lease, stamp: Option<Stamp>, old_term: Duration) {
        self.highest = self.highest.max(lease.epoch);
        self.first_era = self.first_era.min(lease.first_era);
        if self.authority.epoch() != lease.epoch {
            let duty = &self.config.duty;
            log::info!("lease duty={duty} epoch={} choice=hold", lease.epoch);
        }
        let held = self.held.take();
        if let Some(stamp) = stamp {
            self.authority
                .grant(lease.epoch, stamp, lease.term, old_term);
            self.sent.clear();
        }
        self.observation = Observation::default();
        self.held = Some(Held {
            version,
            lease,
            old_term,
            renewed: stamp.or(held.and_then(|held| held.renewed)),
        });
    }

    fn lose(&mut self, reason: &str) {
        // Without the lease, this node may still have authority from before a restore.
        if self.held.take().is_some() || self.authority.holds() {
            self.authority.end();
            let duty = &self.config.duty;
            let epoch = self.authority.epoch();
            log::info!("lease duty={duty} epoch={epoch} choice=stop reason={reason:?}");
        }
    }

    /// Gives up a lease that a restored service no longer has as it was. Authority lasts until its
    /// term ends, as no other node can take the lease before.
    fn drop_outdated(&mut self) {
        if let Some(held) = self.held.take() {
            let duty = &self.config.duty;
            log::info!(
                "lease duty={duty} epoch={} choice=take_again left_ms={} reason=\"the object \
                 service is back from an older copy\"",
                held.lease.epoch,
                self.authority.left().as_millis()
            );
        }
    }

    /// Logs the first of several consecutive failures, and the recovery.
    fn log_failures(&mut self, error: Option<&PlatformError>) {
        let duty = &self.config.duty;
        match (error, self.is_failing) {
            (Some(error), false) => log::warn!("lease duty={duty} trouble=begins reason={error:?}"),
            (None, true) => log::info!("lease duty={duty} trouble=ends"),
            (Some(_), true) | (None, false) => {}
        }
        self.is_failing = error.is_some();
    }
}

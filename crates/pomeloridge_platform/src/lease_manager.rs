//! The task that takes, renews and gives up the lease of one duty.

use std::time::Duration;

use pomeloridge_base::clock::Stamp;
use pomeloridge_base::id::{Epoch, Name, Revision};

use crate::authority::Authority;
use crate::client::Client;
use crate::confirmed_put::{PutOutcome, new_nonce};
use crate::error::PlatformError;
use crate::lease::{
    Lease, LeaseConfig, Ownership, SentWrite, is_renewal_due, may_take, next_epoch, ownership,
};
use crate::object::{Expect, Object};
use crate::observation::Observation;
use crate::records::{LeaseRecord, encode, parse};

/// A call about a lease takes at most this part of the term.
const CALLS_PER_TERM: u32 = 4;
/// Rounds of the task in one term.
const ROUNDS_PER_TERM: u32 = 9;
/// Longest time until a planned stop is noticed.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Puts tried to give a lease up; a late renewal can make the first one conflict.
const GIVE_UP_TRIES: usize = 2;

/// A version of the lease that this node has written.
struct Held {
    version: Revision,
    lease: Lease,
    old_term: Duration,
    /// Taken before the last confirmed renewal was sent.
    renewed: Option<Stamp>,
}

/// Keeps the lease of one duty.
pub struct LeaseManager {
    client: Client,
    config: LeaseConfig,
    authority: Authority,
    held: Option<Held>,
    observation: Observation,
    sent: Vec<SentWrite>,
    /// Highest epoch that was read; the epoch grows even if the object is deleted.
    highest: Epoch,
    /// Whether the last round failed.
    troubled: bool,
}

/// Keeps a lease until `stopping` holds, then gives it up.
pub async fn maintain_lease(mut keeper: LeaseManager, stopping: impl Fn() -> bool) {
    let pause = (keeper.config.term / ROUNDS_PER_TERM).min(LONGEST_PAUSE);
    while !stopping() {
        keeper.step().await;
        monoio::time::sleep(pause).await;
    }
    keeper.release().await;
}

impl LeaseManager {
    /// A keeper that holds nothing yet.
    pub fn new(client: &Client, config: LeaseConfig) -> Self {
        Self {
            client: client.with_max_timeout(config.term / CALLS_PER_TERM),
            authority: Authority::new(client.clock().clone()),
            config,
            held: None,
            observation: Observation::default(),
            sent: Vec::new(),
            highest: Epoch::default(),
            troubled: false,
        }
    }

    /// The authority that the lease gives.
    pub fn authority(&self) -> Authority {
        self.authority.clone()
    }

    /// One round: renews the lease if it is held and due, else looks whether to take it.
    pub async fn step(&mut self) {
        let clock = self.client.clock().clone();
        self.sent
            .retain(|sent| clock.elapsed(sent.stamp) < self.config.term);
        let result = match &self.held {
            Some(held) => {
                let due = |stamp| is_renewal_due(clock.elapsed(stamp), self.config.term);
                if held.renewed.is_none_or(due) {
                    self.renew().await
                } else {
                    Ok(())
                }
            }
            None => self.watch().await,
        };
        self.note_trouble(result.as_ref().err());
    }

    /// Ends the authority and frees the lease, so that another node may take it at once.
    pub async fn release(&mut self) {
        // Authority ends before the write is sent: the next holder may act as
        // soon as the write takes effect.
        self.authority.end();
        for _ in 0..GIVE_UP_TRIES {
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
                let _ = self.settle(&object);
                self.authority.end();
            }
        }
    }

    async fn renew(&mut self) -> Result<(), PlatformError> {
        let Some(held) = &self.held else {
            return Ok(());
        };
        let lease = self.config.lease(held.lease.epoch, new_nonce());
        let (expect, old_term) = (Expect::Version(held.version), held.old_term);
        self.claim_by(lease, expect, old_term).await
    }

    async fn watch(&mut self) -> Result<(), PlatformError> {
        let found = self.client.get(&self.config.key()).await?;
        let lease = found.as_ref().map(|object| self.settle(object));
        let lease = lease.transpose()?.flatten();
        if self.held.is_some() {
            return Ok(());
        }
        // An object that does not exist is seen as version 0.
        self.sight(found.as_ref().map(|object| object.version));
        let unchanged_for = self.observation.unchanged_for(self.client.clock().now());
        if !may_take(lease.as_ref(), &self.config, unchanged_for) {
            return Ok(());
        }
        let epoch = next_epoch(self.highest);
        let old_term = lease.as_ref().map_or(self.config.term, |lease| lease.term);
        log::info!(
            "lease duty={} epoch={epoch} choice=take from={:?} seen_ms={} term_ms={}",
            self.config.duty,
            lease.map(|lease| lease.holder),
            unchanged_for.as_millis(),
            old_term.as_millis()
        );
        let mine = self.config.lease(epoch, new_nonce());
        self.claim_by(mine, Expect::found(found.as_ref()), old_term)
            .await
    }

    /// Writes this node's lease and takes in what became of it.
    async fn claim_by(
        &mut self,
        lease: Lease,
        expect: Expect,
        old_term: Duration,
    ) -> Result<(), PlatformError> {
        // The authority counts from before the call is sent: whoever waits for
        // its end can only have seen the write later than this.
        let stamp = self.client.clock().stamp();
        self.sent.push(SentWrite {
            nonce: lease.nonce.clone(),
            stamp,
            old_term,
        });
        match self.write(&lease, expect).await? {
            PutOutcome::Written(version) => self.hold(version, lease, Some(stamp), old_term),
            PutOutcome::Conflict(Some(object)) | PutOutcome::Unconfirmed(Some(object)) => {
                self.settle(&object)?;
            }
            // The object is gone, or could not be read: the next round reads it.
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

    /// Takes in an object that was read; gives the lease if it is not this node's.
    fn settle(&mut self, object: &Object) -> Result<Option<Lease>, PlatformError> {
        let lease = Lease::from(parse::<LeaseRecord>(&object.value)?);
        self.highest = self.highest.max(lease.epoch);
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
        if let Some(held) = self.held.take() {
            self.authority.end();
            let duty = &self.config.duty;
            let epoch = held.lease.epoch;
            log::info!("lease duty={duty} epoch={epoch} choice=stop reason={reason:?}");
        }
    }

    /// Logs the first failure of several in a row, and their end.
    fn note_trouble(&mut self, error: Option<&PlatformError>) {
        let duty = &self.config.duty;
        match (error, self.troubled) {
            (Some(error), false) => log::warn!("lease duty={duty} trouble=begins reason={error:?}"),
            (None, true) => log::info!("lease duty={duty} trouble=ends"),
            (Some(_), true) | (None, false) => {}
        }
        self.troubled = error.is_some();
    }

    fn sight(&mut self, version: Option<Revision>) {
        let version = version.unwrap_or_default();
        self.observation.record(version, self.client.clock().now());
    }
}

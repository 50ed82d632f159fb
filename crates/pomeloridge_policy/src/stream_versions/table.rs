//! The table that gives each stream a software version.

use std::collections::BTreeMap;

use pomeloridge_base::id::Name;

use super::StreamId;

/// Number of slots of a service.
pub const SLOTS: usize = 64;
/// Number of slots by which a version's part may differ from its servers' part of the places.
const TOLERANCE: usize = 4;

/// Places for requests on servers of each version that take new streams; 0 for a version whose
/// servers are all leaving.
pub type ServiceCapacities = BTreeMap<Name, u64>;

/// A slot of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Index of its version among those of the service.
    pub version: usize,
    /// Number of the table in which its version last changed.
    pub changed: u64,
}

/// The versions of a service's streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSlots {
    versions: Vec<Name>,
    slots: Vec<Slot>,
}

/// The slots of a service are not as many as there must be, or name a version that is not listed.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("malformed slots of a service's versions")]
pub struct InvalidSlots;

impl VersionSlots {
    /// Returns the slots of a stored table.
    ///
    /// # Errors
    /// If there are not [`SLOTS`] slots, or one names a version that is not listed.
    pub fn new(versions: Vec<Name>, slots: Vec<Slot>) -> Result<Self, InvalidSlots> {
        let is_listed = |slot: &Slot| slot.version < versions.len();
        if slots.len() == SLOTS && slots.iter().all(is_listed) {
            Ok(Self { versions, slots })
        } else {
            Err(InvalidSlots)
        }
    }

    /// Returns the index of a stream's slot.
    pub fn index(stream: StreamId) -> usize {
        (stream.0 % SLOTS as u64) as usize
    }

    /// Returns the versions, those without slots included.
    pub fn versions(&self) -> &[Name] {
        &self.versions
    }

    /// Returns the slots in order.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns the version at which a stream begins.
    pub fn version(&self, stream: StreamId) -> &Name {
        &self.versions[self.slots[Self::index(stream)].version]
    }

    /// Returns the number of the table in which the version of a stream's slot last changed.
    pub fn changed(&self, stream: StreamId) -> u64 {
        self.slots[Self::index(stream)].changed
    }

    /// Returns the version if no stream that may still be continued can have another one.
    pub fn sole_version(&self) -> Option<&Name> {
        match self.versions.as_slice() {
            [version] => Some(version),
            _ => None,
        }
    }

    /// Returns the slots with the versions that have slots only.
    fn without_unused(&self) -> Self {
        let is_used = |index: usize| self.slots.iter().any(|slot| slot.version == index);
        let kept: Vec<usize> = (0..self.versions.len()).filter(|i| is_used(*i)).collect();
        let slots = self.slots.iter().map(|slot| Slot {
            version: kept.iter().position(|i| *i == slot.version).unwrap_or(0),
            ..*slot
        });
        Self {
            slots: slots.collect(),
            versions: kept.iter().map(|i| self.versions[*i].clone()).collect(),
        }
    }

    /// Returns the number of slots that each version should have.
    fn targets(capacities: &ServiceCapacities) -> BTreeMap<&Name, usize> {
        let total: u64 = capacities.values().sum();
        let exact = |places: u64| places as f64 * SLOTS as f64 / total.max(1) as f64;
        let mut targets: BTreeMap<&Name, usize> = capacities
            .iter()
            .filter(|(_, places)| **places > 0)
            .map(|(version, places)| (version, (exact(*places).round() as usize).max(1)))
            .collect();
        // Rounding may leave a few slots too many or too few; the largest version takes them.
        let sum: usize = targets.values().sum();
        if let Some(most) = targets.values_mut().max() {
            *most = (*most + SLOTS).saturating_sub(sum);
        }
        targets
    }

    /// Returns the slots moved to where the places are, or `None` if they need not move.
    fn rebalanced(&self, capacities: &ServiceCapacities, number: u64) -> Option<Self> {
        let targets = Self::targets(capacities);
        if targets.is_empty() {
            return None;
        }
        let count = |version: &Name| {
            let slots = self.slots.iter();
            slots
                .filter(|slot| self.versions[slot.version] == *version)
                .count()
        };
        let target = |version: &Name| targets.get(version).copied().unwrap_or(0);
        let listed = self.versions.iter().chain(targets.keys().copied());
        let is_off = listed.clone().any(|version| {
            let (now, wanted) = (count(version), target(version));
            (now == 0) != (wanted == 0) || now.abs_diff(wanted) > TOLERANCE
        });
        if !is_off {
            return None;
        }
        let mut moved = self.clone();
        for version in targets.keys() {
            if !moved.versions.contains(version) {
                moved.versions.push((*version).clone());
            }
        }
        let mut counts: Vec<usize> = moved.versions.iter().map(count).collect();
        let wanted: Vec<usize> = moved.versions.iter().map(target).collect();
        for slot in &mut moved.slots {
            if counts[slot.version] <= wanted[slot.version] {
                continue;
            }
            let Some(to) = (0..counts.len()).find(|i| counts[*i] < wanted[*i]) else {
                break;
            };
            counts[slot.version] -= 1;
            counts[to] += 1;
            *slot = Slot {
                version: to,
                changed: number,
            };
        }
        Some(moved)
    }

    /// Returns the first slots of a service. A version without places is listed too, as streams
    /// may have begun there before.
    fn first(capacities: &ServiceCapacities, number: u64) -> Option<Self> {
        let targets = Self::targets(capacities);
        let slots = capacities.keys().enumerate();
        let slots = slots.flat_map(|(version, name)| {
            let slot = Slot {
                version,
                changed: number,
            };
            std::iter::repeat_n(slot, targets.get(name).copied().unwrap_or(0))
        });
        Self::new(capacities.keys().cloned().collect(), slots.collect()).ok()
    }
}

/// The versions of all services with streams that may be continued at other servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionTable {
    /// Number of the table; higher ones replace lower ones.
    pub number: u64,
    /// Slots of each service.
    pub services: BTreeMap<Name, VersionSlots>,
}

impl VersionTable {
    /// Returns the version at which a stream of a service begins.
    pub fn version(&self, service: &Name, stream: StreamId) -> Option<&Name> {
        let slots = self.services.get(service)?;
        Some(slots.version(stream))
    }

    /// Returns the next table if streams should begin at other versions, as the places have
    /// changed. A service without places keeps its slots.
    #[must_use]
    pub fn rebalanced(&self, capacities: &BTreeMap<Name, ServiceCapacities>) -> Option<Self> {
        let number = self.number + 1;
        let mut next = self.clone();
        let mut is_changed = false;
        for (service, places) in capacities {
            let slots = match self.services.get(service) {
                Some(slots) => slots.rebalanced(places, number),
                None => VersionSlots::first(places, number),
            };
            if let Some(slots) = slots {
                next.services.insert(service.clone(), slots);
                is_changed = true;
            }
        }
        next.number = number;
        is_changed.then_some(next)
    }

    /// Returns the next table without versions that have no slots, if there are such. Only a table
    /// that has not changed for the longest time of a stream may be replaced so.
    #[must_use]
    pub fn settled(&self) -> Option<Self> {
        let services = self.services.iter();
        let services = services.map(|(service, slots)| (service.clone(), slots.without_unused()));
        let next = Self {
            number: self.number + 1,
            services: services.collect(),
        };
        (next.services != self.services).then_some(next)
    }

    /// Returns this table with a higher number, in which all slots count as changed: what was
    /// written since it may be lost.
    #[must_use]
    pub fn restored(&self, number: u64) -> Self {
        let mut next = self.clone();
        next.number = number;
        for slots in next.services.values_mut() {
            for slot in &mut slots.slots {
                slot.changed = number;
            }
        }
        next
    }
}

//! Access to usage batches on this node and on others.

use pomeloridge_base::id::{Incarnation, Name};

use crate::error::LinkError;
use crate::member::MemberState;
use crate::mesh::Mesh;
use crate::peer_link::PeerLink;
use crate::usage::{UsageBatch, UsagePage, UsageSpan};
use crate::usage_store::InsertOutcome;

impl Mesh {
    /// Stores a usage batch of this node or of another.
    pub fn store_usage(&self, batch: UsageBatch) -> InsertOutcome {
        self.0.usage.borrow_mut().insert(batch)
    }

    /// Lists the usage batches stored on `peer`.
    pub async fn list_usage(&self, peer: &Name) -> Result<Vec<UsageSpan>, LinkError> {
        if *peer == self.name() {
            return Ok(self.usage_spans());
        }
        self.link(peer).await?.list_usage().await
    }

    /// Returns the usage batches stored on `peer` of one incarnation of `node`, from number
    /// `from` on.
    pub async fn get_usage(
        &self,
        peer: &Name,
        node: &Name,
        incarnation: Incarnation,
        from: u64,
    ) -> Result<UsagePage, LinkError> {
        if *peer == self.name() {
            return Ok(self.read_usage(node, incarnation, from));
        }
        let link = self.link(peer).await?;
        link.get_usage(node, incarnation, from).await
    }

    /// Drops the usage batches on `peer` of one incarnation of `node` up to a sealed number.
    pub async fn drop_usage(
        &self,
        peer: &Name,
        node: &Name,
        incarnation: Incarnation,
        up_to: u64,
    ) -> Result<(), LinkError> {
        if *peer == self.name() {
            self.drop_sealed(node, incarnation, up_to);
            return Ok(());
        }
        let link = self.link(peer).await?;
        link.drop_usage(node, incarnation, up_to).await
    }

    pub(crate) fn usage_spans(&self) -> Vec<UsageSpan> {
        self.0.usage.borrow().spans()
    }

    pub(crate) fn read_usage(&self, node: &Name, incarnation: Incarnation, from: u64) -> UsagePage {
        self.0.usage.borrow().read(node, incarnation, from)
    }

    pub(crate) fn drop_sealed(&self, node: &Name, incarnation: Incarnation, up_to: u64) {
        let mut usage = self.0.usage.borrow_mut();
        usage.drop_sealed(node, incarnation, up_to);
    }

    /// Returns the open links in the order of preference for storing a usage batch:
    /// other data centres first, and within each group leaving nodes last.
    pub(crate) fn usage_peers(&self, number: u64) -> Vec<PeerLink> {
        let own = self.view(|membership| membership.own().data_centre.clone());
        let mut ranked: Vec<_> = (self.links().into_iter())
            .filter_map(|link| {
                let member = self.view(|membership| membership.member(&link.name))?;
                let is_local = member.data_centre == own;
                (member.state.is_heard())
                    .then_some(((is_local, member.state == MemberState::Leaving), link))
            })
            .collect();
        if !ranked.is_empty() {
            // Rotates the peers so that batches are spread over them.
            let turn = number as usize % ranked.len();
            ranked.rotate_left(turn);
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, link)| link).collect()
    }
}

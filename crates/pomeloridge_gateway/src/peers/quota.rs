//! Asks for credit of client accounts' allotments, and their answers.

use std::net::SocketAddr;
use std::rc::Rc;

use pomeloridge_policy::account_quota::{AccountId, Ask, AskId, Grant, SentAsk};

use super::wire::{PeerMessage, QuotaAskWire, QuotaGrantWire};
use super::{base_message, send_to};
use crate::account_quota;
use crate::state::State;

/// Asks holders at their addresses.
pub(crate) fn send_asks(
    state: &Rc<State>,
    account: AccountId,
    asks: impl Iterator<Item = (SocketAddr, SentAsk)>,
) {
    for (address, ask) in asks {
        let message = PeerMessage {
            quota_ask: Some(QuotaAskWire::new(&ask, account)),
            ..base_message(state)
        };
        send_to(state, message, vec![address]);
    }
}

/// Handles a peer's ask or answer, if the message has one.
pub(super) fn handle(state: &Rc<State>, message: &mut PeerMessage, address: SocketAddr) {
    if let Some(wire) = message.quota_ask.take() {
        let account = AccountId(wire.account);
        let grant = account_quota::handle_ask(state, account, Ask::from(&wire));
        let message = PeerMessage {
            quota_grant: Some(QuotaGrantWire::new(wire.id, message.incarnation, grant)),
            ..base_message(state)
        };
        send_to(state, message, vec![address]);
    }
    let grant = message.quota_grant.take();
    if let Some(wire) = grant.filter(|wire| wire.asker == state.incarnation) {
        account_quota::handle_grant(state, AskId(wire.id), Grant::from(&wire));
    }
}

//! Authenticated link to another node and the calls over it.

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::id::{Incarnation, Name};

use crate::channel::{Channel, origin, with_deadline};
use crate::error::LinkError;
use crate::generated::link_client::LinkClient;
use crate::generated::node_client::NodeClient;
use crate::generated::{
    ConfigMessage, DropUsageRequest, GetConfigRequest, GetUsageRequest, HeartbeatMessage,
    HelloRequest, ListUsageRequest, ProveRequest, PushConfigRequest, UsageBatchMessage,
};
use crate::heartbeat::Heartbeat;
use crate::proof::{Handshake, Side, random_nonce};
use crate::usage::{UsageBatch, UsagePage, UsageSpan};
use crate::wire::{convert_all, try_convert_all};

/// Limit on a message, in bytes: room for two objects of the object service's maximum
/// size and their overhead.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Limit on the configuration in one message, in bytes; a single larger object is still sent.
pub(crate) const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// Link to another node over which both ends have proved the fleet secret.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Authenticated name of the other node.
    pub name: Name,
    channel: Channel,
    client: NodeClient<Channel>,
    timeout: Duration,
}

impl PeerLink {
    /// Connects and completes the handshake. `timeout` applies to every call on the link.
    pub async fn open(
        address: SocketAddr,
        own: &Name,
        secret: &[u8],
        timeout: Duration,
    ) -> Result<Self, LinkError> {
        let channel = Channel::connect(address, timeout).await?;
        let mut client = LinkClient::with_origin(channel.clone(), origin());
        let caller_nonce = random_nonce();
        let hello = HelloRequest {
            name: own.to_string(),
            nonce: caller_nonce.clone().into(),
        };
        let reply = with_deadline(timeout, client.hello(hello)).await?;
        let handshake = Handshake {
            caller: own.clone(),
            called: Name::from(reply.name),
            caller_nonce,
            called_nonce: reply.nonce.to_vec(),
        };
        if handshake.called == *own {
            return Err(LinkError::Own);
        }
        if !handshake.verify(secret, Side::Called, &reply.proof) {
            return Err(LinkError::Unproved);
        }
        let proof = handshake.prove(secret, Side::Caller).into();
        with_deadline(timeout, client.prove(ProveRequest { proof })).await?;
        Ok(Self::new(channel, handshake.called, timeout))
    }

    fn new(channel: Channel, name: Name, timeout: Duration) -> Self {
        let client = NodeClient::with_origin(channel.clone(), origin())
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        Self {
            name,
            channel,
            client,
            timeout,
        }
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.channel.is_closed()
    }

    pub(crate) async fn heartbeat(&self, own: Heartbeat) -> Result<Heartbeat, LinkError> {
        let message = HeartbeatMessage::from(own);
        let reply = with_deadline(self.timeout, self.client.clone().heartbeat(message)).await?;
        Ok(reply.try_into()?)
    }

    /// Requests configuration objects; no keys requests all. The reply may lack some,
    /// which are requested again after the next heartbeat.
    pub async fn get_config(&self, keys: Vec<String>) -> Result<Vec<ConfigObject>, LinkError> {
        let request = GetConfigRequest { keys };
        let reply = with_deadline(self.timeout, self.client.clone().get_config(request)).await?;
        Ok(try_convert_all(reply.objects)?)
    }

    /// Sends configuration objects, in several calls if they exceed one message.
    pub async fn push_config(&self, objects: Vec<ConfigObject>) -> Result<(), LinkError> {
        let mut rest: Vec<ConfigMessage> = convert_all(objects);
        while !rest.is_empty() {
            let remaining = rest.split_off(fitting_count(&rest));
            let request = PushConfigRequest { objects: rest };
            with_deadline(self.timeout, self.client.clone().push_config(request)).await?;
            rest = remaining;
        }
        Ok(())
    }

    pub(crate) async fn ack_usage(
        &self,
        batch: UsageBatch,
        timeout: Duration,
    ) -> Result<(), LinkError> {
        let timeout = timeout.min(self.timeout);
        let message = UsageBatchMessage::from(batch);
        with_deadline(timeout, self.client.clone().ack_usage(message)).await?;
        Ok(())
    }

    pub(crate) async fn list_usage(&self) -> Result<Vec<UsageSpan>, LinkError> {
        let request = ListUsageRequest {};
        let reply = with_deadline(self.timeout, self.client.clone().list_usage(request)).await?;
        Ok(convert_all(reply.spans))
    }

    pub(crate) async fn get_usage(
        &self,
        node: &Name,
        incarnation: Incarnation,
        from: u64,
    ) -> Result<UsagePage, LinkError> {
        let request = GetUsageRequest {
            node: node.to_string(),
            incarnation: incarnation.into(),
            from,
        };
        let reply = with_deadline(self.timeout, self.client.clone().get_usage(request)).await?;
        Ok(reply.into())
    }

    pub(crate) async fn drop_usage(
        &self,
        node: &Name,
        incarnation: Incarnation,
        up_to: u64,
    ) -> Result<(), LinkError> {
        let request = DropUsageRequest {
            node: node.to_string(),
            incarnation: incarnation.into(),
            up_to,
        };
        with_deadline(self.timeout, self.client.clone().drop_usage(request)).await?;
        Ok(())
    }
}

/// Returns how many of the first objects fit into one message; at least one.
pub(crate) fn fitting_count(objects: &[ConfigMessage]) -> usize {
    let mut bytes = 0;
    let over = objects.iter().position(|object| {
        bytes += object.json.len();
        bytes > MAX_CONFIG_BYTES
    });
    over.unwrap_or(objects.len()).max(1)
}

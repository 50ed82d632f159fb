//! A proved link to another node and the calls over it.

use std::net::SocketAddr;
use std::time::Duration;

use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::id::{Incarnation, Name};

use crate::channel::{Channel, origin, within};
use crate::error::LinkError;
use crate::generated::link_client::LinkClient;
use crate::generated::node_client::NodeClient;
use crate::generated::{
    ConfigMessage, DropUsageRequest, GetConfigRequest, GetUsageRequest, HeartbeatMessage,
    HelloRequest, ListUsageRequest, ProveRequest, PushConfigRequest, UsageBatchMessage,
};
use crate::heartbeat::Heartbeat;
use crate::proof::{Greeting, Side, nonce};
use crate::usage::{UsageBatch, UsagePage, UsageSpan};
use crate::wire::{each, try_each};

/// Limit on a message, in bytes: two objects of the service's largest size and
/// what is around them.
pub(crate) const MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of configuration that are sent at once, but for a single larger object.
pub(crate) const CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// A link to another node, over which both ends have proved the fleet secret.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// The name that the other node proved.
    pub name: Name,
    channel: Channel,
    client: NodeClient<Channel>,
    limit: Duration,
}

impl PeerLink {
    /// Connects and proves; every call on the link has `limit` as its deadline.
    pub async fn open(
        address: SocketAddr,
        own: &Name,
        secret: &[u8],
        limit: Duration,
    ) -> Result<Self, LinkError> {
        let channel = Channel::connect(address, limit).await?;
        let mut client = LinkClient::with_origin(channel.clone(), origin());
        let caller_nonce = nonce();
        let hello = HelloRequest {
            name: own.to_string(),
            nonce: caller_nonce.clone().into(),
        };
        let reply = within(limit, client.hello(hello)).await?;
        let greeting = Greeting {
            caller: own.clone(),
            called: Name::from(reply.name),
            caller_nonce,
            called_nonce: reply.nonce.to_vec(),
        };
        if greeting.called == *own {
            return Err(LinkError::Own);
        }
        if !greeting.is_proved(secret, Side::Called, &reply.proof) {
            return Err(LinkError::Unproved);
        }
        let proof = greeting.prove(secret, Side::Caller).into();
        within(limit, client.prove(ProveRequest { proof })).await?;
        Ok(Self::over(channel, greeting.called, limit))
    }

    fn over(channel: Channel, name: Name, limit: Duration) -> Self {
        let client = NodeClient::with_origin(channel.clone(), origin())
            .max_decoding_message_size(MESSAGE_BYTES);
        Self {
            name,
            channel,
            client,
            limit,
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.channel.is_closed()
    }

    pub(crate) async fn heartbeat(&self, own: Heartbeat) -> Result<Heartbeat, LinkError> {
        let message = HeartbeatMessage::from(own);
        let reply = within(self.limit, self.client.clone().heartbeat(message)).await?;
        Ok(reply.try_into()?)
    }

    /// Reads configuration objects; no keys asks for all. The reply may lack
    /// some, which the next heartbeat shows.
    pub async fn get_config(&self, keys: Vec<String>) -> Result<Vec<ConfigObject>, LinkError> {
        let request = GetConfigRequest { keys };
        let reply = within(self.limit, self.client.clone().get_config(request)).await?;
        Ok(try_each(reply.objects)?)
    }

    /// Sends configuration objects, as many calls as their size needs.
    pub async fn push_config(&self, objects: Vec<ConfigObject>) -> Result<(), LinkError> {
        let mut rest: Vec<ConfigMessage> = each(objects);
        while !rest.is_empty() {
            let later = rest.split_off(fitting(&rest));
            let request = PushConfigRequest { objects: rest };
            within(self.limit, self.client.clone().push_config(request)).await?;
            rest = later;
        }
        Ok(())
    }

    pub(crate) async fn ack_usage(
        &self,
        batch: UsageBatch,
        limit: Duration,
    ) -> Result<(), LinkError> {
        let limit = limit.min(self.limit);
        let message = UsageBatchMessage::from(batch);
        within(limit, self.client.clone().ack_usage(message)).await?;
        Ok(())
    }

    pub(crate) async fn list_usage(&self) -> Result<Vec<UsageSpan>, LinkError> {
        let request = ListUsageRequest {};
        let reply = within(self.limit, self.client.clone().list_usage(request)).await?;
        Ok(each(reply.spans))
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
        let reply = within(self.limit, self.client.clone().get_usage(request)).await?;
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
        within(self.limit, self.client.clone().drop_usage(request)).await?;
        Ok(())
    }
}

/// How many of the first objects may be sent at once; at least one.
pub(crate) fn fitting(objects: &[ConfigMessage]) -> usize {
    let mut bytes = 0;
    let over = objects.iter().position(|object| {
        bytes += object.json.len();
        bytes > CONFIG_BYTES
    });
    over.unwrap_or(objects.len()).max(1)
}

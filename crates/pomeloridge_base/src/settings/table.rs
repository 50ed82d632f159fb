//! The table of settings.

/// What a setting's value must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// Text that is not empty.
    Text,
    /// `IP:PORT`; port 0 takes a free port.
    Address,
    /// A list of `IP:PORT`, separated by commas; may be empty.
    Addresses,
    /// A whole number of milliseconds, at least 1.
    Millis,
    /// A whole number, at least 1.
    Count,
    /// A whole number of bytes, at least 1.
    Bytes,
    /// A number of seconds above 0; it may have a fraction.
    Seconds,
    /// A number of at least 0; it may have a fraction.
    Amount,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A secret of at least 16 bytes; never shown.
    Secret,
    /// SHA-256 in hexadecimal, as `NAME:HASH`, separated by commas.
    Tokens,
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// What the value must be.
    pub kind: SettingKind,
    /// Value if the key is left out; `None` if it must be given.
    pub default: Option<&'static str>,
    /// What it does.
    pub description: &'static str,
    /// Why one would change it.
    pub reason: &'static str,
    /// A value as an example.
    pub example: &'static str,
}

macro_rules! settings {
    ($(#[doc = $doc:literal])* $list:ident: $($section:literal $key:literal $kind:expr, $default:expr, $description:literal, $reason:literal, $example:literal;)*) => {
        $(#[doc = $doc])*
        pub const $list: &[Setting] = &[$(Setting {
            section: $section,
            key: $key,
            kind: $kind,
            default: $default,
            description: $description,
            reason: $reason,
            example: $example,
        },)*];
    };
}

use SettingKind::{
    Address, Addresses, Amount, Bytes, Choice, Count, Millis, Seconds, Secret, Text, Tokens,
};

settings! {
    /// Every setting of a node.
    SETTINGS:
    "node" "name" Text, None, "The node's name, unique in the fleet.", "Heartbeats, leases and logs name the node by it.", "vm-17";
    "node" "data_centre" Text, None, "The data centre that the VM stands in.", "Routing prefers servers of the same data centre, and usage is acknowledged in another one.", "tln-a";
    "node" "secret" Secret, None, "The fleet secret that nodes prove to each other.", "A process that lacks it is let into no link between nodes.", "change-me-to-32-random-bytes";
    "listen" "caller" Address, None, "Where callers connect.", "The balancer sends callers here.", "10.0.0.17:8080";
    "listen" "node" Address, None, "Where other nodes connect.", "Other nodes find it in the platform's list of VMs.", "10.0.0.17:8081";
    "listen" "operator" Address, None, "Where operators, probes and metrics connect.", "Kept apart from the callers' port, so that it can be closed to them.", "10.0.0.17:8082";
    "platform" "address" Address, None, "The platform's service.", "Configuration, leases, lists and orders go through it.", "10.0.0.2:7000";
    "platform" "timeout_ms" Millis, Some("1000"), "Time that one call may take.", "A longer time rides out slowness; a shorter one notices an outage earlier.", "1000";
    "platform" "poll_ms" Millis, Some("1000"), "Time between two reads of the lists of VMs and backend servers.", "Each read counts against the service's limit.", "1000";
    "platform" "watch_ms" Millis, Some("5000"), "Time after which an open watch is asked again.", "A watch that went silent is noticed after this time.", "5000";
    "operator" "tokens" Tokens, Some(""), "Operators' tokens as `NAME:SHA256`.", "The name stands in the history of changes.", "anna:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    "node_link" "seeds" Addresses, Some(""), "Nodes to ask first, besides the platform's list.", "Lets a new VM join while the platform is down.", "10.0.0.16:8081,10.0.0.15:8081";
    "node_link" "heartbeat_ms" Millis, Some("250"), "Time between two heartbeats to a peer.", "Shorter finds failures earlier and costs more messages.", "250";
    "node_link" "suspect_ms" Millis, Some("1500"), "Silence after which a peer is held to be unreachable.", "Shorter reacts earlier and errs more often when a VM is slow.", "1500";
    "node_link" "fan_out" Count, Some("8"), "Peers that a node sends heartbeats to at most.", "Bounds a node's cost as the fleet grows; smaller fleets are a full mesh.", "8";
    "node_link" "cut_off_ms" Millis, Some("2000"), "Time without platform and without most peers after which new work is refused.", "A withdrawn key is accepted on a cut-off node for no longer than this.", "2000";
    "lease" "term_ms" Millis, Some("3000"), "Term of a lease on a duty.", "Shorter hands a dead holder's duty over earlier and renews more often.", "3000";
    "lease" "margin_ms" Millis, Some("500"), "Time added to the term before another node takes a lease.", "Covers clocks that run at different speeds.", "500";
    "backend" "connect_ms" Millis, Some("250"), "Time to connect to a backend server.", "A longer time delays every request that meets a dead server.", "250";
    "backend" "load_ms" Millis, Some("250"), "Time between two reads of a server's load report.", "Shorter keeps the view fresher and costs calls to the servers.", "250";
    "backend" "probe_ms" Millis, Some("1000"), "First pause before a server that could not be reached is tried again; doubles up to 30 s.", "Shorter takes a server back earlier and spends more connection attempts.", "1000";
    "admission" "queue" Count, Some("256"), "Requests that may wait for one pool on a node.", "Beyond it a request is refused at once.", "256";
    "admission" "account_queue" Count, Some("64"), "Requests of one client account that may wait for one pool on a node.", "Keeps one account from filling the queue.", "64";
    "admission" "retry_percent" Count, Some("10"), "Retries a node may make, in percent of its successes.", "Bounds the extra load that retries put on a fleet in trouble.", "10";
    "routing" "policy" Choice(&["estimated", "round_robin", "least_reported"]), Some("estimated"), "How a backend server is chosen.", "The two simple ones are baselines to compare with.", "estimated";
    "routing" "care" Choice(&["on", "off"]), Some("on"), "Whether failures that this node sees take servers out of routing.", "Off shows what relying on the platform's list alone costs.", "on";
    "placement" "roles" Choice(&["gain", "static", "threshold"]), Some("gain"), "How roles of engines are decided.", "Static leaves them to operators; threshold is a baseline to compare with.", "gain";
    "placement" "orders" Choice(&["forecast", "static", "threshold"]), Some("forecast"), "How backend servers are ordered.", "Static orders none; threshold is a baseline to compare with.", "forecast";
    "caller" "head_bytes" Bytes, Some("32768"), "Limit on a request's head.", "A larger head is refused before it is read whole.", "32768";
    "caller" "head_ms" Millis, Some("5000"), "Time for a request's head to arrive.", "Ends connections that send slowly on purpose.", "5000";
    "caller" "body_ms" Millis, Some("20000"), "Time for a request's body to arrive.", "Callers on slow lines need more.", "20000";
    "caller" "stop_delay_ms" Millis, Some("2000"), "Time between turning unready and refusing connections when stopping.", "The balancer needs it to notice.", "2000";
    "log" "format" Choice(&["text", "json"]), Some("text"), "Form of log lines.", "JSON for collectors, text for people.", "json";
    "log" "level" Choice(&["error", "warn", "info", "debug"]), Some("info"), "Least severe level that is logged.", "Decisions are logged at info.", "info";
    "usage" "window_ms" Millis, Some("60000"), "Length of a usage window.", "Shorter bills earlier and makes more reports.", "60000";
}

settings! {
    /// Every setting of a gateway.
    GATEWAY_SETTINGS:
    "node" "name" Text, None, "The node's name, unique in the fleet.", "Leases, reports and logs name the node by it.", "front-tln-a-1";
    "node" "data_centre" Text, None, "The data centre that the VM stands in.", "Routing prefers servers of the same data centre.", "tln-a";
    "node" "bootstrap" Choice(&["true", "false"]), Some("false"), "Whether the whole system starts for the first time.", "Servers are then ordered before all entries have been seen.", "false";
    "listen" "caller" Address, None, "Where callers connect.", "The platform's balancer sends callers here.", "10.0.0.17:8080";
    "listen" "ready" Address, None, "Where the balancer asks whether the node takes callers.", "Kept apart from the callers' port.", "10.0.0.17:8082";
    "listen" "peer" Address, None, "Where other nodes send datagrams and read the configuration.", "Other nodes find it in the node's object.", "10.0.0.17:8081";
    "listen" "metrics" Address, None, "Where collectors read metrics, under `/metrics`.", "Kept apart from the callers' port.", "10.0.0.17:9464";
    "platform" "store" Address, None, "The platform's object service.", "Configuration, server list, leases and seals go through it.", "10.0.0.2:7000";
    "platform" "duties" Address, None, "Where usage is reported and servers are ordered.", "Only the holder of a duty calls it.", "10.0.0.3:7000";
    "platform" "timeout_ms" Millis, Some("700"), "Time that one call may take.", "A longer time rides out slowness; a shorter one notices an outage earlier.", "700";
    "platform" "watch_ms" Millis, Some("2500"), "Time after which an open watch is asked again.", "A watch that went silent is noticed after this time and the timeout.", "2500";
    "lease" "term_ms" Millis, Some("3000"), "Term of the lease on the duties.", "At least the time in which the platform forbids two holders to take turns.", "3000";
    "lease" "margin_ms" Millis, Some("500"), "Time added to the term before another node takes the lease.", "Covers clocks that run at different speeds.", "500";
    "stop" "unready_ms" Millis, Some("3000"), "Time between turning unready and refusing connections when stopping.", "The balancer asks once a second and needs two misses.", "3000";
    "repeats" "ratio" Amount, Some("0.2"), "Repeats that the fleet may send for each request.", "Bounds the extra load on a service in trouble.", "0.2";
    "repeats" "slack" Amount, Some("50"), "Repeats that the fleet may send on top in a window.", "Lets a quiet fleet repeat at all.", "50";
    "repeats" "window_s" Seconds, Some("10"), "Window over which repeats are counted.", "The platform's own window.", "10";
    "usage" "window_s" Seconds, Some("5"), "Length of a usage window.", "The platform's own window.", "5";
    "usage" "late_s" Seconds, Some("10"), "Time after a window's end by which its report is due.", "Later reports count as missing.", "10";
    "peers" "pause_ms" Millis, Some("100"), "Time between two datagrams to a peer.", "Shorter keeps loads fresher and costs processor time.", "100";
    "peers" "fan_out" Count, Some("8"), "Peers that are sent a datagram in one round at most.", "Bounds a node's cost as the fleet grows.", "8";
    "log" "format" Choice(&["text", "json"]), Some("text"), "Form of log lines.", "JSON for collectors, text for people.", "json";
    "log" "level" Choice(&["error", "warn", "info", "debug"]), Some("info"), "Least severe level that is logged.", "Decisions are logged at info.", "info";
    "log" "lines_per_s" Count, Some("400"), "Lines written in a second at most; the rest are counted.", "Bounds the cost of logging under load.", "400";
}

//! Tables of the settings of nodes and gateways.

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// Non-empty text.
    Text,
    /// `IP:PORT`; port 0 chooses a free port.
    Address,
    /// `IP:PORT` values separated by commas; may be empty.
    Addresses,
    /// A whole number of milliseconds, at least 1.
    Millis,
    /// A whole number, at least 1.
    Count,
    /// A whole number of bytes, at least 1.
    Bytes,
    /// A number of seconds from 0.001 to 86400; may have a fraction.
    Seconds,
    /// 0, or a number of seconds from 0.001 to 86400; may have a fraction.
    SecondsOrOff,
    /// A number of at least 0; may have a fraction.
    Amount,
    /// A number from 0 to 1; may have a fraction.
    Share,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A secret of at least 16 bytes; never shown.
    Secret,
    /// `NAME:SHA256` values in hexadecimal, separated by commas; may be empty.
    Tokens,
}

/// Row of a settings table.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Type of the value.
    pub kind: SettingKind,
    /// Value if the key is missing; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Effect of the setting.
    pub description: &'static str,
    /// Reason for the setting or for changing it.
    pub reason: &'static str,
    /// Example of a valid value.
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
    Address, Addresses, Amount, Bytes, Choice, Count, Millis, Seconds, SecondsOrOff, Secret, Share,
    Text, Tokens,
};

settings! {
    /// Settings of a node.
    SETTINGS:
    "node" "name" Text, None, "The node's name, unique in the fleet.", "Heartbeats, leases and logs name the node by it.", "vm-17";
    "node" "data_centre" Text, None, "The data centre of the VM.", "Routing prefers servers of the same data centre, and usage is replicated to another one.", "tln-a";
    "node" "secret" Secret, None, "The fleet's secret, by which nodes authenticate each other.", "A process without it can't open a link to a node.", "change-me-to-32-random-bytes";
    "listen" "caller" Address, None, "Address on which callers are served.", "The load balancer connects to it.", "10.0.0.17:8080";
    "listen" "node" Address, None, "Address on which other nodes connect.", "Other nodes find it in the platform's list of VMs.", "10.0.0.17:8081";
    "listen" "operator" Address, None, "Address for operators, health checks and metrics collectors.", "Separate from the callers' port, so that callers can be kept from it.", "10.0.0.17:8082";
    "platform" "address" Address, None, "Address of the platform.", "Configuration, leases, the lists of VMs and backend servers, and orders go through it.", "10.0.0.2:7000";
    "platform" "timeout_ms" Millis, Some("1000"), "Timeout of a call to the platform.", "A longer timeout tolerates a slow platform; a shorter one detects an outage earlier.", "1000";
    "platform" "poll_ms" Millis, Some("1000"), "Interval between reads of the lists of VMs and backend servers.", "Each read counts towards the platform's request limit.", "1000";
    "platform" "watch_ms" Millis, Some("5000"), "Time after which a watch is renewed.", "A watch that has gone silent is detected after this time.", "5000";
    "operator" "tokens" Tokens, Some(""), "Operators' tokens as `NAME:SHA256`.", "The name is recorded in the history of changes.", "anna:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    "node_link" "seeds" Addresses, Some(""), "Addresses of nodes to contact first, in addition to the platform's list.", "Lets a new VM join while the platform is down.", "10.0.0.16:8081,10.0.0.15:8081";
    "node_link" "heartbeat_ms" Millis, Some("250"), "Interval between heartbeats to a peer.", "A shorter interval detects failures earlier and costs more messages.", "250";
    "node_link" "suspect_ms" Millis, Some("1500"), "Silence after which a peer is considered unreachable.", "A shorter time reacts earlier and misjudges slow VMs more often.", "1500";
    "node_link" "fan_out" Count, Some("8"), "Maximum number of peers to which a node sends heartbeats.", "Bounds a node's cost as the fleet grows; smaller fleets form a full mesh.", "8";
    "node_link" "cut_off_ms" Millis, Some("2000"), "Time without contact to the platform and to most peers after which new requests are refused.", "An isolated node accepts a withdrawn key for no longer than this.", "2000";
    "lease" "term_ms" Millis, Some("3000"), "Term of the lease on a duty.", "A shorter term replaces a failed holder earlier and costs more renewals.", "3000";
    "lease" "margin_ms" Millis, Some("500"), "Time added to the term before another node takes a lease.", "Allows for clocks that run at different speeds.", "500";
    "backend" "connect_ms" Millis, Some("250"), "Timeout for connecting to a backend server.", "A longer timeout delays every request that is sent to a failed server.", "250";
    "backend" "load_ms" Millis, Some("250"), "Interval between reads of a server's load report.", "A shorter interval gives more recent loads and costs calls to the servers.", "250";
    "backend" "probe_ms" Millis, Some("1000"), "Delay before the first probe of an ejected server; it doubles with each probe up to 30 s.", "A shorter delay restores a server earlier and costs more connection attempts.", "1000";
    "admission" "queue" Count, Some("256"), "Maximum number of requests that wait for a pool on a node.", "Further requests are refused at once.", "256";
    "admission" "account_queue" Count, Some("64"), "Maximum number of requests of a client account that wait for a pool on a node.", "Prevents one account from filling the queue.", "64";
    "admission" "retry_percent" Count, Some("10"), "Retry budget of a node, in percent of its successful requests.", "Bounds the extra load of retries on an overloaded fleet.", "10";
    "routing" "policy" Choice(&["estimated", "round_robin", "least_reported"]), Some("estimated"), "Policy by which backend servers are chosen.", "`round_robin` and `least_reported` are baselines for comparison.", "estimated";
    "routing" "care" Choice(&["on", "off"]), Some("on"), "Whether backend servers are ejected after failures that this node observes.", "`off` shows the cost of relying on the platform's list alone.", "on";
    "placement" "roles" Choice(&["gain", "static", "threshold"]), Some("gain"), "Policy by which the roles of engines are chosen.", "`static` leaves them to operators; `threshold` is a baseline for comparison.", "gain";
    "placement" "orders" Choice(&["forecast", "static", "threshold"]), Some("forecast"), "Policy by which backend servers are ordered.", "`static` orders none; `threshold` is a baseline for comparison.", "forecast";
    "caller" "head_bytes" Bytes, Some("32768"), "Maximum size of a request's head.", "A larger head is refused before it is read completely.", "32768";
    "caller" "head_ms" Millis, Some("5000"), "Timeout for reading a request's head.", "Closes connections that send slowly on purpose.", "5000";
    "caller" "body_ms" Millis, Some("20000"), "Timeout for reading a request's body.", "Callers on slow connections need more.", "20000";
    "caller" "stop_delay_ms" Millis, Some("2000"), "Delay between becoming unready and refusing connections at shutdown.", "The load balancer needs this time to notice.", "2000";
    "log" "format" Choice(&["text", "json"]), Some("text"), "Format of log lines.", "`json` suits log collectors, `text` people.", "json";
    "log" "level" Choice(&["error", "warn", "info", "debug"]), Some("info"), "Lowest level that is logged.", "Decisions are logged at `info`.", "info";
    "usage" "window_ms" Millis, Some("60000"), "Length of a usage window.", "Shorter windows are billed earlier and cause more reports.", "60000";
}

settings! {
    /// Settings of a gateway.
    GATEWAY_SETTINGS:
    "node" "name" Text, None, "The node's name, unique in the fleet.", "Leases, reports and logs name the node by it.", "front-tln-a-1";
    "node" "data_centre" Text, None, "The data centre of the VM.", "Routing prefers servers of the same data centre.", "tln-a";
    "node" "bootstrap" Choice(&["true", "false"]), Some("false"), "Whether the fleet is started for the first time.", "Preemptible servers are then ordered before the server list is complete.", "false";
    "listen" "caller" Address, None, "Address on which callers are served.", "The platform's load balancer connects to it.", "10.0.0.17:8080";
    "listen" "ready" Address, None, "Address of the readiness check for the load balancer.", "Separate from the callers' port.", "10.0.0.17:8082";
    "listen" "peer" Address, None, "Address to which other nodes send datagrams and from which they read the configuration.", "Other nodes find it in this node's object.", "10.0.0.17:8081";
    "listen" "metrics" Address, None, "Address for metrics collectors, which read `/metrics`.", "Separate from the callers' port.", "10.0.0.17:9464";
    "platform" "store" Address, None, "Address of the platform's object service.", "The configuration, server list, leases and seals are stored there.", "10.0.0.2:7000";
    "platform" "duties" Address, None, "Address to which usage is reported and orders for servers are sent.", "Only the holder of a duty connects to it.", "10.0.0.3:7000";
    "platform" "timeout_ms" Millis, Some("700"), "Timeout of a call to the platform.", "A longer timeout tolerates a slow platform; a shorter one detects an outage earlier.", "700";
    "platform" "watch_ms" Millis, Some("2500"), "Time after which a watch is renewed.", "A watch that has gone silent is detected after this time plus the timeout.", "2500";
    "platform" "apply_ms" Millis, Some("2000"), "Time within which every node must act on a change of the configuration.", "Decides how soon a node reads the object service itself when those that watch it fall silent.", "2000";
    "platform" "drain_ms" Millis, Some("2000"), "Time within which every node must stop sending to a leaving server.", "As `apply_ms`; the shorter of both counts.", "2000";
    "routing" "servers" Choice(&["reported", "uneven"]), Some("reported"), "Which services are taken to have servers that differ in speed: `reported`, those whose servers report how long work takes there; `uneven`, all.", "Servers that differ are compared by the whole answer, their own speeds and their free memory, and those speeds are told to peers; others by the time to the first piece and the load.", "reported";
    "lease" "term_ms" Millis, Some("3000"), "Term of the lease on the duties.", "Must be at least the time within which the platform forbids a change of holder.", "3000";
    "lease" "margin_ms" Millis, Some("500"), "Time added to the term before another node takes the lease.", "Allows for clocks that run at different speeds.", "500";
    "stop" "unready_ms" Millis, Some("3000"), "Delay from the signal to stop until connections, and requests that may outlast the grace time, are refused; at most half of `grace_s`.", "The load balancer checks once a second and needs two failures.", "3000";
    "stop" "grace_s" Seconds, Some("8"), "Time from SIGTERM until the platform kills the process.", "Requests in flight are answered before it ends.", "8";
    "repeats" "ratio" Amount, Some("0.2"), "Retries that the fleet may send per request.", "Bounds the extra load on an overloaded service.", "0.2";
    "repeats" "slack" Amount, Some("50"), "Retries that the fleet may send in a window in addition to the ratio.", "Allows retries when there are few requests.", "50";
    "repeats" "window_s" Seconds, Some("10"), "Window over which retries are counted.", "Equals the platform's window.", "10";
    "hedge" "share" Share, Some("0"), "Second attempts that the fleet may begin per request that may be repeated, while the first one is slow; 0 turns them off.", "Cuts the slowest answers for some extra work on the servers.", "0.05";
    "hedge" "most" Count, Some("100"), "Maximum number of such attempts at once in the fleet.", "Bounds the extra work at any moment.", "100";
    "relief" "moves" Choice(&["on", "off"]), Some("off"), "Whether a run moves to another engine if it would end too late, or its engine leaves before.", "Takes effect where the configuration says that engines can move runs and the service's servers differ in speed.", "on";
    "relief" "most" Count, Some("4"), "Maximum number of runs that a node moves at once.", "Bounds the load on the links between engines; each move is also charged to the retry budget.", "4";
    "usage" "window_s" Seconds, Some("5"), "Length of a usage window.", "Equals the platform's window.", "5";
    "usage" "late_s" Seconds, Some("10"), "Time after a window's end within which its report is due.", "Later reports count as missing.", "10";
    "quota" "slack" Amount, Some("0"), "Requests or tokens that the platform tolerates beyond a client account's allotment in a window.", "Nodes use a part of it for requests that are larger than the allotment's burst.", "140000";
    "quota" "window_s" Seconds, Some("8"), "Window over which the platform counts an allotment.", "A node that takes the place of another grants nothing for so long.", "8";
    "slow_readers" "unread_s" SecondsOrOff, Some("0"), "Time after which a response, or a request's body, is cut of which its reader has taken neither 16 KiB nor the rest; 0 turns all cuts of slow readers off.", "Less than the time after which engines cut off an answer that stays unread, so that the gateway ends the run first.", "3";
    "slow_readers" "process_mb" Count, Some("48"), "Mebibytes that all messages being read or written may hold; beyond that, transfers are cut, first those that their readers do not take. More than 32.", "Bounds a gateway's memory; messages that are being read alone hold up to 32.", "48";
    "peers" "pause_ms" Millis, Some("100"), "Interval between datagrams to a peer.", "A shorter interval gives more recent loads and costs processor time.", "100";
    "peers" "fan_out" Count, Some("8"), "Maximum number of peers to which a datagram is sent per round.", "Bounds a node's cost as the fleet grows.", "8";
    "operator" "tokens" Tokens, Some(""), "Operators' tokens as `NAME:SHA256`.", "Without any, `pomeloridge route explain` is off.", "anna:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    "log" "format" Choice(&["text", "json"]), Some("text"), "Format of log lines.", "`json` suits log collectors, `text` people.", "json";
    "log" "level" Choice(&["error", "warn", "info", "debug"]), Some("info"), "Lowest level that is logged.", "Decisions are logged at `info`.", "info";
    "log" "lines_per_s" Count, Some("400"), "Maximum number of lines written per second; further lines are dropped and counted.", "Bounds the cost of logging under load.", "400";
}

//! State shared by the gateway's tasks.

mod budgets;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use pomeloridge_base::clock::{SharedClock, Stamp};
use pomeloridge_base::id::{Epoch, Era, Name, Revision};
use pomeloridge_base::meter::{Counter, Meter, Timer};
use pomeloridge_base::settings::SettingValues;
use pomeloridge_platform::{CallKind, Client};
use pomeloridge_policy::crashes::{CrashTracker, ServerIncarnation};
use pomeloridge_policy::dispatch::{
    Dispatcher, EngineModel, PromptMessageBudget, TargetInfo, TargetKey,
};
use pomeloridge_policy::fleet_retry_budget::FleetRetryBudget;
use pomeloridge_policy::freshness::FreshnessTimes;
use pomeloridge_policy::hedging::Hedging;
use pomeloridge_policy::part_crashes::PartTracker;
use pomeloridge_policy::stage_assignment::StageLoad;
use pomeloridge_policy::stream_versions::UnknownVersion;
use pomeloridge_policy::watchers::{
    RankedNode, is_cut_off, lacks_watchers, must_call_store, retry_delay,
};
use pomeloridge_policy::work_meter::{WorkMeter, WorkRates};

use crate::accept::Accepted;
use crate::account_quota::QuotaState;
use crate::active_config::ActiveConfig;
use crate::config::ServingConfig;
use crate::crash_detection::{self, CrashProbes};
use crate::exchange::Failure;
use crate::fleet_clock::FleetClock;
use crate::lifecycle::Lifecycle;
use crate::part_quarantine;
use crate::peers::{self, ListedRecords, Peers};
use crate::pool::Pool;
use crate::ports::Ports;
use crate::server_limits::Senders;
use crate::server_list::ServerList;
use crate::server_registry::{REMOVAL_GRACE, ServerRegistry};
use crate::settings::{LiveSettings, ReloadSettings};
use crate::slow_readers::Transfers;
use crate::usage::{UsageLedger, UsageSource};
use crate::versions::{self, SharedRead, StreamVersions};

use budgets::{hedge_limits, retry_limits};

/// Time for which a starting node waits to learn which other nodes exist.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Everything needed to build a gateway.
pub struct GatewayParts {
    /// Validated settings.
    pub settings: SettingValues,
    /// Reloads the settings from their file.
    pub reload_settings: ReloadSettings,
    /// Time source.
    pub clock: SharedClock,
    /// Conversions of the platform's messages.
    pub ports: Ports,
    /// Receives the counts and times of the metrics.
    pub meter: Meter,
    /// Renders the metrics page.
    pub metrics: Box<dyn Fn() -> String>,
}

/// What a watch of the object service follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// The configuration.
    Config,
    /// The list of servers.
    Servers,
}

/// A gateway's state.
pub(crate) struct State {
    pub(crate) settings: LiveSettings,
    pub(crate) clock: SharedClock,
    pub(crate) ports: Ports,
    pub(crate) meter: Meter,
    pub(crate) metrics: Box<dyn Fn() -> String>,
    pub(crate) name: Name,
    /// Hash of the name of this node's data centre, as sent to peers.
    pub(crate) data_centre_hash: u32,
    /// Length of a usage window.
    pub(crate) usage_window: Duration,
    /// Random number by which peers distinguish this process from earlier ones of the node.
    pub(crate) incarnation: u64,
    /// When this node started.
    pub(crate) started: Instant,
    pub(crate) lifecycle: Lifecycle,
    /// Socket for datagrams to peers, once it is open.
    pub(crate) socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Number of running reads of the configuration from peers.
    pub(crate) config_reads: Rc<Cell<usize>>,
    /// Number of running reads of the server list from peers.
    pub(crate) server_list_reads: Rc<Cell<usize>>,
    /// Number of reads by peers that this node is serving.
    pub(crate) peer_reads: Rc<Cell<usize>>,
    /// Address at which peers reach this node.
    pub(crate) peer_address: SocketAddr,
    pub(crate) store: Client,
    pub(crate) config: RefCell<ActiveConfig>,
    pub(crate) server_registry: RefCell<ServerRegistry>,
    pub(crate) server_list: RefCell<ServerList>,
    /// When the object service last answered this node's watch of the servers; `None` if it does
    /// not watch them or the last call failed.
    pub(crate) servers_watch_answered: Cell<Option<Instant>>,
    /// The same for the watch of the configuration.
    pub(crate) config_watch_answered: Cell<Option<Instant>>,
    /// When this node last received anything from the object service, initially its start.
    pub(crate) store_last_heard: Cell<Stamp>,
    /// Since when too few other nodes watch the object service.
    watchers_missing_since: Cell<Option<Instant>>,
    /// Whether this node had to watch the object service when that was last checked.
    is_watcher: Cell<bool>,
    /// Whether the server list has been loaded.
    pub(crate) server_list_loaded: Cell<bool>,
    /// Era of the first server list, and when it was loaded.
    pub(crate) first_list: Cell<Option<(Era, Instant)>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// Time from which this node may spend its share of the fixed retry allowance.
    pub(crate) allowance_from: Cell<Instant>,
    pub(crate) retry_budgets: RefCell<HashMap<Name, FleetRetryBudget>>,
    pub(crate) hedging: RefCell<Hedging>,
    /// Allotments of client accounts.
    pub(crate) account_quota: QuotaState,
    pub(crate) pool: Pool,
    /// Requests that may have crashed servers.
    pub(crate) crashes: RefCell<CrashTracker>,
    /// Prompt parts that may have crashed engines.
    pub(crate) parts: RefCell<PartTracker>,
    /// Probes of servers on which a request was lost.
    pub(crate) crash_probes: RefCell<CrashProbes>,
    /// Whether there are crashes that peers have not been told of at once.
    pub(crate) crash_news: Cell<bool>,
    /// Number of running announcements of crashes.
    pub(crate) crash_announcements: Rc<Cell<usize>>,
    /// Whether requests were quarantined that this node's object does not contain yet.
    pub(crate) quarantine_changed: Cell<bool>,
    /// Number of runs that this node is moving to other engines.
    pub(crate) moves: Rc<Cell<usize>>,
    /// Transfers to callers and servers; `None` if slow readers are not cut.
    pub(crate) transfers: Option<Transfers>,
    /// Number of attempts in flight.
    pub(crate) in_flight: Rc<Cell<usize>>,
    pub(crate) usage: RefCell<UsageLedger>,
    pub(crate) fleet_clock: RefCell<FleetClock>,
    pub(crate) peers: RefCell<Peers>,
    /// Messages to peers about long prompts.
    pub(crate) prompt_messages: RefCell<PromptMessageBudget>,
    /// What this node's places among the senders of servers with limits were last computed from.
    pub(crate) senders: RefCell<Option<Senders>>,
    /// Work that requests to this node caused, by service.
    pub(crate) work_meters: RefCell<HashMap<Name, WorkMeter>>,
    /// Software versions of the streams.
    pub(crate) versions: RefCell<StreamVersions>,
    /// When this node last wrote the table of versions.
    pub(crate) versions_written: Cell<Option<Instant>>,
    /// Era of the object service in which this node last compared the table there with its own.
    pub(crate) versions_checked: Cell<Option<Era>>,
    /// Whether this node's last record of streams has been written.
    pub(crate) last_record_written: Cell<bool>,
    /// Number of running changes of the table of versions.
    pub(crate) versions_writes: Rc<Cell<usize>>,
    /// Number of streams whose versions are asked for at other nodes.
    pub(crate) copy_lookups: Rc<Cell<usize>>,
    /// Number of running reads of the table of versions that a peer has named.
    pub(crate) newer_versions_reads: Rc<Cell<usize>>,
    /// Reads of the table of versions for lookups.
    pub(crate) table_reads: Rc<SharedRead<Result<(), String>>>,
    /// Reads of the nodes' records for lookups.
    pub(crate) record_reads: Rc<SharedRead<Result<Rc<ListedRecords>, UnknownVersion>>>,
    /// Hashes of the engines that this node has ordered to change their stage.
    pub(crate) changing_engines: RefCell<Vec<u32>>,
    /// Fencing token of the duties lease while this node holds it.
    pub(crate) duty_epoch: Cell<Option<Epoch>>,
    /// Version of the duties' lease while this node holds it.
    pub(crate) duty_lease: Cell<Option<Revision>>,
}

impl State {
    pub(crate) fn new(parts: GatewayParts, peer: SocketAddr) -> Rc<Self> {
        let GatewayParts {
            settings,
            reload_settings,
            clock,
            ports,
            meter,
            metrics,
        } = parts;
        let name = Name::from(settings.text("node", "name"));
        let data_centre = Name::from(settings.text("node", "data_centre"));
        let incarnation = rand::random::<u64>();
        let store = Client::with_codec(
            settings.address("platform", "store"),
            settings.time("platform", "timeout_ms"),
            Rc::clone(&clock),
            ports.store.codec,
        );
        let timed = meter.clone();
        let store = store.with_observer(Rc::new(move |kind, time| {
            // A watch call lasts until something changes, so its duration is not a latency.
            if kind != CallKind::Watch {
                timed.record(Timer::StoreCall, time);
            }
        }));
        let source = UsageSource {
            node: name.clone(),
            incarnation,
        };
        let now = clock.now();
        let mut dispatcher =
            Dispatcher::new(data_centre.clone(), EngineModel::default(), incarnation);
        dispatcher.expect_uneven_servers(settings.text("routing", "servers") == "uneven");
        let data_centre_hash = peers::name_hash(&data_centre) as u32;
        Rc::new(Self {
            store,
            data_centre_hash,
            usage_window: settings.time("usage", "window_s"),
            lifecycle: Lifecycle::default(),
            peer_address: peer,
            socket: RefCell::default(),
            config_reads: Rc::default(),
            server_list_reads: Rc::default(),
            peer_reads: Rc::default(),
            config: RefCell::default(),
            server_registry: RefCell::default(),
            server_list: RefCell::default(),
            servers_watch_answered: Cell::new(None),
            config_watch_answered: Cell::new(None),
            store_last_heard: Cell::new(clock.stamp()),
            watchers_missing_since: Cell::new(None),
            is_watcher: Cell::new(false),
            server_list_loaded: Cell::new(false),
            first_list: Cell::new(None),
            dispatcher: RefCell::new(dispatcher),
            allowance_from: Cell::new(retry_limits(&settings).allowance_from(now)),
            retry_budgets: RefCell::default(),
            hedging: RefCell::new(Hedging::new(hedge_limits(&settings))),
            account_quota: QuotaState::new(&name, &settings),
            pool: Pool::default(),
            crashes: RefCell::default(),
            parts: RefCell::default(),
            crash_probes: RefCell::default(),
            crash_news: Cell::new(false),
            crash_announcements: Rc::default(),
            quarantine_changed: Cell::new(false),
            moves: Rc::default(),
            transfers: Transfers::new(&settings, now),
            in_flight: Rc::default(),
            usage: RefCell::new(UsageLedger::new(source)),
            fleet_clock: RefCell::new(FleetClock::new(now, clock.unix_ms())),
            peers: RefCell::new(Peers::new(data_centre_hash, now)),
            prompt_messages: RefCell::new(PromptMessageBudget::new(now)),
            senders: RefCell::default(),
            work_meters: RefCell::default(),
            versions: RefCell::new(StreamVersions::new(now)),
            versions_written: Cell::new(None),
            versions_checked: Cell::new(None),
            last_record_written: Cell::new(false),
            versions_writes: Rc::default(),
            copy_lookups: Rc::default(),
            newer_versions_reads: Rc::default(),
            table_reads: SharedRead::new(versions::TABLE_READ_INTERVAL),
            record_reads: SharedRead::new(versions::RECORDS_READ_INTERVAL),
            changing_engines: RefCell::default(),
            duty_epoch: Cell::new(None),
            duty_lease: Cell::new(None),
            settings: LiveSettings::new(settings, reload_settings),
            clock,
            ports,
            meter,
            metrics,
            name,
            incarnation,
            started: now,
        })
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<SettingValues> {
        self.settings.current()
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration in force, if any has been loaded.
    pub(crate) fn config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().config()
    }

    /// Whether the whole system is being started for the first time.
    pub(crate) fn bootstrap(&self) -> bool {
        self.settings().text("node", "bootstrap") == "true"
    }

    /// Whether the load balancer may send callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.config().is_some()
            && self.server_list_loaded.get()
            && self.peers.borrow().knows_crashes()
            && self.versions.borrow().number().is_some()
            && !self.lifecycle.is_stopping()
            && !self.is_cut_off()
            && !self.lacks_lost_part(self.now())
    }

    /// Returns the era of the server list, `None` until it has been loaded.
    pub(crate) fn server_list_era(&self) -> Option<Era> {
        self.server_list.borrow().revision().map(Revision::era)
    }

    /// Whether the node has started in a restored object service so lately that the service may
    /// not hold again what it has lost, while peers know it.
    fn lacks_lost_part(&self, now: Instant) -> bool {
        let Some((era, loaded_at)) = self.first_list.get() else {
            return false;
        };
        let age = now.saturating_duration_since(loaded_at);
        if !era.is_restored() || self.server_list_era() != Some(era) || age >= REMOVAL_GRACE {
            return false;
        }
        let peers = self.peers.borrow();
        let is_unheard = peers.known_count() > 0 && peers.live_count(now) == 0;
        peers.remembers_before(era, now) || (is_unheard && age < PEER_DISCOVERY_TIME)
    }

    /// Whether the node has been cut off from the others and the object service for so long that
    /// it may have missed withdrawn keys.
    pub(crate) fn is_cut_off(&self) -> bool {
        let peers = self.peers.borrow();
        let silence = self.clock.elapsed(self.store_last_heard.get());
        is_cut_off(peers.known_count(), peers.live_count(self.now()), silence)
    }

    /// Returns how long the request remains quarantined, or `None` if it is not.
    pub(crate) fn quarantine_left(&self, accepted: &Accepted) -> Option<Duration> {
        let crashes = self.crashes.borrow();
        let left = crashes.quarantine_left(&accepted.fingerprint, self.now());
        left.or_else(|| part_quarantine::left(self, accepted))
    }

    /// Counts work demanded of a service's engines: prompt tokens to prefill and output tokens to
    /// decode.
    pub(crate) fn count_work(&self, service: &Name, prompt_tokens: u64, output_tokens: u64) {
        let now = self.now();
        let mut meters = self.work_meters.borrow_mut();
        let meter = meters
            .entry(service.clone())
            .or_insert_with(|| WorkMeter::new(self.started));
        meter.add(prompt_tokens, output_tokens, now);
    }

    /// Returns the rates of a service's work, summed over all nodes.
    pub(crate) fn work_rates(&self, service: &Name) -> WorkRates {
        let now = self.now();
        let own = self.work_meters.borrow();
        let own = own.get(service).map(|meter| meter.rates(now));
        let peers = self.peers.borrow().work_rates(service, now);
        let own = own.unwrap_or_default();
        WorkRates {
            prefill: own.prefill + peers.prefill,
            decode: own.decode + peers.decode,
        }
    }

    /// Returns the load of a service at all nodes, as numbers of fully used engines.
    pub(crate) fn stage_load(&self, service: &Name) -> StageLoad {
        let rates = self.work_rates(service);
        let config = self.config();
        let configured = config.as_ref().and_then(|c| c.services.get(service));
        let Some(engine) = configured.and_then(|service| service.engine) else {
            return StageLoad::default();
        };
        let dispatcher = self.dispatcher.borrow();
        let model = dispatcher.model(service);
        let rate = dispatcher.mean_rate(service, self.now());
        StageLoad {
            prefill: rates.prefill / (model.prefill_throughput() * rate),
            decode: rates.decode / (model.decode_throughput(engine.slots) * rate),
        }
    }

    /// Adds a request that began to run to the usage of its client account.
    pub(crate) fn count_usage(&self, account: Option<&Name>) {
        let Some(account) = account else { return };
        let window = self.usage_window_at(self.now());
        self.usage.borrow_mut().count(window, account);
    }

    /// Returns the number of the usage window that contains a time.
    pub(crate) fn usage_window_at(&self, now: Instant) -> u64 {
        let window = self.usage_window.as_millis() as u64;
        self.fleet_clock.borrow().unix_ms(now) / window
    }

    /// Whether this node should watch the object service itself instead of relying on peers.
    pub(crate) fn should_watch_store(&self) -> bool {
        let (now, own) = (self.now(), self.ranked());
        if self.is_waiting_for_peers(now) {
            return false;
        }
        self.check_freshness();
        let peers = self.peers.borrow().ranked_peers(now);
        let shortage = if lacks_watchers(own, &peers) {
            let since = self.watchers_missing_since.get().unwrap_or(now);
            self.watchers_missing_since.set(Some(since));
            Some(now.saturating_duration_since(since))
        } else {
            self.watchers_missing_since.set(None);
            None
        };
        let is_watcher = shortage.is_some_and(|time| must_call_store(own, &peers, time));
        if self.is_watcher.replace(is_watcher) != is_watcher {
            let choice = if is_watcher { "watch" } else { "rely_on_peers" };
            let answers = peers.iter().filter_map(|peer| peer.last_answer_age);
            let youngest_ms = answers.clone().min().map(|age| age.as_millis());
            log::info!(
                "store choice={choice} ranked={} watching={} youngest_answer_ms={youngest_ms:?} \
                 shortage_ms={}",
                peers.len(),
                answers.count(),
                shortage.unwrap_or_default().as_millis()
            );
        }
        is_watcher
    }

    /// Returns the times that follow from the bounds on acting on a change.
    pub(crate) fn freshness_times(&self) -> FreshnessTimes {
        let settings = self.settings();
        let [apply, drain, watch] =
            ["apply_ms", "drain_ms", "watch_ms"].map(|key| settings.time("platform", key));
        FreshnessTimes::new(apply.min(drain), watch)
    }

    /// Stops counting peers as watching the object service if the latest answer to any of them is
    /// too old. Returns whether nothing has been heard of an answer since.
    pub(crate) fn check_freshness(&self) -> bool {
        let (now, max_age) = (self.now(), self.freshness_times().max_age);
        let mut peers = self.peers.borrow_mut();
        let was_doubted = peers.freshness.is_doubted();
        let too_old = peers.freshness.check(max_age, now);
        if let Some(age) = too_old.filter(|_| !was_doubted) {
            log::warn!(
                "store choice=doubt_watchers answer_age_ms={} max_ms={} live={}",
                age.as_millis(),
                max_age.as_millis(),
                peers.live_count(now)
            );
        }
        peers.freshness.is_doubted()
    }

    /// Whether most of the nodes that were heard lately have been heard just now, in a large fleet
    /// at their slower rate and at least one just now.
    pub(crate) fn hears_majority(&self) -> bool {
        let fan_out = self.settings().number("peers", "fan_out") as usize;
        self.peers.borrow().hears_majority(fan_out, self.now())
    }

    /// Whether the object service answers both of this node's watches, as far as it knows.
    pub(crate) fn is_watching(&self) -> bool {
        self.servers_watch_answered.get().is_some() && self.config_watch_answered.get().is_some()
    }

    /// Returns how long this node's watch of the configuration or of the servers waits, so that the
    /// watches of all watching nodes end one after the other.
    pub(crate) fn watch_wait(&self, kind: WatchKind) -> Duration {
        let now = self.now();
        let (place, watchers) = self.peers.borrow().watcher_place(&self.name, now);
        let slot = match kind {
            WatchKind::Config => place,
            WatchKind::Servers => watchers + place,
        };
        let unix_ms = self.fleet_clock.borrow().unix_ms(now);
        self.freshness_times().wait(unix_ms, slot, 2 * watchers)
    }

    /// Whether this node should try to acquire the duties lease, which has had no known holder for
    /// `free`.
    pub(crate) fn is_duty_candidate(&self, free: Duration) -> bool {
        if self.is_waiting_for_peers(self.now()) {
            return false;
        }
        let peers = self.peers.borrow().ranked_peers(self.now());
        must_call_store(self.ranked(), &peers, free)
    }

    /// Returns this node's rank among those that may call the object service.
    fn ranked(&self) -> RankedNode {
        RankedNode {
            rank: peers::name_hash(&self.name),
            data_centre_hash: self.data_centre_hash,
        }
    }

    /// Whether this node has just started and does not know yet which other nodes exist.
    fn is_waiting_for_peers(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        age < PEER_DISCOVERY_TIME && !self.peers.borrow().is_initialized(now)
    }

    /// Returns the delay after a failed call to the object service.
    pub(crate) fn retry_delay(&self) -> Duration {
        let peers = self.peers.borrow().ranked_peers(self.now());
        retry_delay(self.ranked(), &peers)
    }

    /// Passes the registered servers to the dispatcher.
    pub(crate) fn sync_servers(self: &Rc<Self>) {
        let config = self.config();
        let capacity = |service: &Name| {
            let service = config.as_ref()?.services.get(service)?;
            Some(service.engine?.kv_capacity)
        };
        let registry = self.server_registry.borrow();
        let list = registry.servers().cloned().map(|info| TargetInfo {
            kv_capacity: capacity(&info.service).unwrap_or_default(),
            ..info
        });
        let removed = self.dispatcher.borrow_mut().sync(list.collect());
        drop(registry);
        crash_detection::record_removed(self, &removed);
        versions::check_table(self);
    }

    /// Ejects a server after a failure that shows that it is dead.
    pub(crate) fn eject(&self, server: TargetKey, reason: Failure) {
        let ejected = self.dispatcher.borrow_mut().eject(server, self.now());
        if ejected {
            self.meter.increment(Counter::Ejections);
            log::info!(
                "server id={} choice=eject reason={reason}",
                self.server_name(server)
            );
        }
    }

    /// Ejects servers that have crashed according to a peer.
    pub(crate) fn eject_crashed(
        &self,
        crashes: impl IntoIterator<Item = (ServerIncarnation, Duration)>,
        by: &Name,
        now: Instant,
    ) {
        let ejected = self.dispatcher.borrow_mut().eject_crashed(crashes, now);
        for server in ejected {
            self.meter.increment(Counter::Ejections);
            let id = self.server_name(server);
            log::info!("server id={id} choice=eject reason=crash_news by={by}");
        }
    }

    /// Makes a call that is reserved to the holder of the duties lease, and records its duration.
    pub(crate) async fn timed_duty_call<T>(&self, call: impl Future<Output = T>) -> T {
        let started_at = self.now();
        let outcome = call.await;
        let duration = self.now().saturating_duration_since(started_at);
        self.meter.record(Timer::DutyCall, duration);
        outcome
    }

    /// Returns the number of connections that this node may have to a server of a service: an
    /// equal part of those that the server takes from all nodes.
    pub(crate) fn max_connections(&self, service: &Name) -> usize {
        let config = self.config();
        let service = config.as_ref().and_then(|c| c.services.get(service));
        let nodes = self.peers.borrow().known_count() + 1;
        service.map_or(usize::MAX, |service| (service.connections / nodes).max(1))
    }

    /// Checks whether the server at an address may be called now, and counts the call against
    /// the server's limit. Returns the number of connections that this node may have to it.
    pub(crate) fn begin_call(&self, address: SocketAddr) -> Option<usize> {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let mut targets = dispatcher.targets();
        let target = targets.find(|(_, target)| target.info.address == address);
        let (key, target) = target?;
        let service = target.info.service.clone();
        let is_backing_off = target.backoff(now).is_some();
        drop(targets);
        let is_allowed = !is_backing_off && dispatcher.try_send(key, now);
        drop(dispatcher);
        is_allowed.then(|| self.max_connections(&service))
    }

    /// Returns the version of a server's software for the log, empty if it is no longer listed.
    pub(crate) fn server_version(&self, key: TargetKey) -> Name {
        let dispatcher = self.dispatcher.borrow();
        let target = dispatcher.target(key);
        target
            .map(|target| target.info.version.clone())
            .unwrap_or_default()
    }

    /// Returns a server's name for the log, empty if it is no longer listed.
    pub(crate) fn server_name(&self, key: TargetKey) -> Name {
        let dispatcher = self.dispatcher.borrow();
        let target = dispatcher.target(key);
        target
            .map(|target| target.info.id.clone())
            .unwrap_or_default()
    }
}

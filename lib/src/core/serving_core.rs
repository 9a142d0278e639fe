//! Composes the components of the core and runs them in each tick.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    CoreAction, CoreEvent, CoreSetup, InboundCallId, InstanceReadiness,
    OutboundCallId, PublishedState,
    query_routing::PendingQueries,
    request_routing::{ResponseRoute, fleet_view},
    routing::{CallPurpose, TickOutput},
    upstream_reader::UpstreamReader,
};
use crate::{
    api::InstanceAddress,
    call_log::{CALL_STREAMS, CallEntryTable, CallOwnerTable},
    config_reader::ConfigReader,
    engine_orders::{EngineOrderEvent, EngineOrderTable},
    entry::{EntryEvent, EntryTable},
    fleet_view::FleetView,
    freshness::{Freshness, FreshnessTable},
    ids::InstanceId,
    log_event::LogEvent,
    membership::{LocalStatus, MemberSetup, MemberTable},
    order_tracker::OrderTracker,
    owner::OwnerTable,
    ownership::{OwnershipTable, stream_owner},
    planned_stop::StopSchedule,
    request_trace::RequestTraces,
    units::Timestamp,
};

/// Interval between two updates of state that may lag behind: the recently
/// alive members and the addresses for callers.
const SLOW_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// How recently a member must have been alive to count for the majority rule of
/// [`FreshnessTable`].
const RECENTLY_ALIVE_WINDOW: Duration = Duration::from_secs(600);
/// Maximum number of members that are notified directly when this instance
/// leaves; gossip reaches the others.
const LEAVE_NOTIFICATIONS_MAX: usize = 16;

/// State machine that makes all decisions of one instance.
#[derive(Debug)]
pub struct ServingCore {
    pub(super) setup: CoreSetup,
    pub(super) members: MemberTable,
    pub(super) reader: ConfigReader,
    pub(super) freshness: FreshnessTable,
    pub(super) ownership: OwnershipTable,
    pub(super) upstreams: UpstreamReader,
    pub(super) calls: CallOwnerTable,
    pub(super) call_entries: CallEntryTable,
    pub(super) order_tracker: OrderTracker,
    pub(super) pending_queries: PendingQueries,
    pub(super) explain: RequestTraces,
    pub(super) entries: EntryTable,
    pub(super) owners: OwnerTable,
    pub(super) engine_orders: EngineOrderTable,
    pub(super) response_routes: BTreeMap<u64, ResponseRoute>,
    pub(super) next_response_route: u64,
    pub(super) next_lender: usize,
    pub(super) pending_calls: BTreeMap<OutboundCallId, CallPurpose>,
    pub(super) next_call: u64,
    stop: Option<StopSchedule>,
    stop_done: bool,
    slow_update_due: Timestamp,
    stream_owners_version: Option<u64>,
    reported_freshness: Option<Freshness>,
    published: Option<PublishedState>,
    published_version: Option<(u64, u64, InstanceReadiness)>,
}

impl ServingCore {
    /// A core without configuration, members or upstreams.
    pub fn new(setup: CoreSetup) -> Self {
        let members = MemberTable::new(MemberSetup {
            instance: setup.instance.clone(),
            incarnation: setup.incarnation,
            domain: setup.domain.clone(),
            peer_address: setup.peer_address,
            caller_address: setup.caller_address,
            seeds: setup.seeds.clone(),
            seed: setup.seed,
        });
        Self {
            members,
            reader: ConfigReader::new(setup.seed.wrapping_add(1)),
            freshness: FreshnessTable::new(),
            ownership: OwnershipTable::new(),
            upstreams: UpstreamReader::default(),
            calls: CallOwnerTable::new(setup.instance.clone()),
            call_entries: CallEntryTable::new(),
            order_tracker: OrderTracker::new(),
            pending_queries: PendingQueries::default(),
            explain: RequestTraces::new(),
            entries: EntryTable::new(
                setup.policy,
                setup.incarnation,
                setup.seed.wrapping_add(2),
            ),
            owners: OwnerTable::new(),
            engine_orders: EngineOrderTable::new(
                setup.incarnation,
                setup.seed.wrapping_add(3),
            ),
            response_routes: BTreeMap::new(),
            next_response_route: 0,
            next_lender: 0,
            pending_calls: BTreeMap::new(),
            next_call: 0,
            stop: None,
            stop_done: false,
            slow_update_due: Timestamp::ZERO,
            stream_owners_version: None,
            reported_freshness: None,
            published: None,
            published_version: None,
            setup,
        }
    }

    /// Handles the events, runs the timers that are due and returns the
    /// resulting actions.
    pub fn tick(
        &mut self,
        now: Timestamp,
        events: Vec<CoreEvent>,
    ) -> Vec<CoreAction> {
        let mut output = TickOutput::default();
        self.update_local_status(now);
        for event in events {
            self.handle(now, event, &mut output);
        }
        self.tick_components(now, &mut output);
        self.publish(now, &mut output);
        output.actions
    }

    /// When [`Self::tick`] must be called even without events.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let timers = [
            self.members.next_timer(),
            self.reader.next_timer(),
            self.upstreams.next_timer(),
            self.calls.next_timer(),
            self.call_entries.next_timer(),
            self.order_tracker.next_timer(),
            self.pending_queries.next_timer(),
            self.entries.next_timer(),
            self.owners.next_timer(),
            self.engine_orders.next_timer(),
            Some(self.slow_update_due),
        ];
        timers.into_iter().flatten().min()
    }

    /// Begins a planned stop: from here on the instance owns no engine, and it
    /// announces that it leaves.
    pub(super) fn begin_stop(
        &mut self,
        now: Timestamp,
        schedule: StopSchedule,
        output: &mut TickOutput,
    ) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(schedule);
        self.members.leave();
        let peers: Vec<InstanceId> =
            self.members.members().keys().cloned().collect();
        let count = peers.len().min(LEAVE_NOTIFICATIONS_MAX);
        let actions = self.members.request_gossip(now, &peers[..count]);
        self.route_members(now, actions, output);
        output.log(
            LogEvent::StopBegun,
            "removed from the addresses for callers",
        );
        self.limit_requests(now, schedule, output);
    }

    fn tick_components(&mut self, now: Timestamp, output: &mut TickOutput) {
        let actions = self.members.tick(now);
        self.route_members(now, actions, output);
        let actions = self.reader.tick(now);
        self.route_reader(now, actions, output);
        self.freshness.set_applied(self.reader.state().applied);
        let peers = self.freshness.peers_to_ask(now);
        let actions = self.members.request_gossip(now, &peers);
        self.route_members(now, actions, output);
        if now >= self.slow_update_due {
            self.slow_update_due = now.after(SLOW_UPDATE_INTERVAL);
            self.update_slow_state(now, output);
        }
        self.update_owners(now, output);
        self.tick_engine_orders(now, output);
        self.read_upstreams(now, output);
        self.tick_requests(now, output);
        let actions = self.calls.tick(now);
        self.route_calls(now, actions, output);
        let actions = self.call_entries.tick(now);
        self.route_call_entries(now, actions, output);
        self.tick_order_tracker(now, output);
        self.expire_queries(now, output);
        self.report_freshness(now, output);
        let idle = self.entries.is_empty() && self.call_entries.is_empty();
        // Until the listener is closed, further requests may arrive.
        let closed =
            self.stop.is_some_and(|stop| now >= stop.listener_closes());
        if closed && idle && !self.stop_done {
            self.stop_done = true;
            output.actions.push(CoreAction::StopDone);
        }
    }

    /// Updates what this instance sends in its gossip.
    fn update_local_status(&mut self, now: Timestamp) {
        let status = LocalStatus {
            applied: self.reader.state().applied,
            confirmed_at: self.freshness.confirmed_at(),
            log_reached: self.freshness.log_reached(now),
            engines: self.owners.summaries(now),
        };
        self.members.set_local_status(status);
    }

    fn update_slow_state(&mut self, now: Timestamp, output: &mut TickOutput) {
        // Summaries of other instances' engines arrive by gossip; those of this
        // instance's engines are passed to the entry side here.
        for summary in self.owners.summaries(now) {
            let event = EntryEvent::Summary(summary);
            self.handle_entry(now, event, output);
        }
        let recently_alive =
            self.members.alive_within(now, RECENTLY_ALIVE_WINDOW);
        self.freshness.set_recently_alive(recently_alive);
        let present = self.members.members().iter();
        let present = present.filter(|(_, entry)| entry.is_present());
        let peers = present.map(|(id, _)| id.clone()).collect();
        self.reader.set_peers(peers);
        self.upstreams.expire(now);
        self.published_version = None;
    }

    fn update_owners(&mut self, now: Timestamp, output: &mut TickOutput) {
        let members = &self.members;
        let changed = self.ownership.refresh(
            members.version(),
            self.upstreams.version(),
            self.upstreams.table(),
            || members.owner_candidates(),
        );
        if changed {
            let local_instance = &self.setup.instance;
            let owners = self.ownership.owners();
            let count =
                owners.values().filter(|id| *id == local_instance).count();
            let text = format!("owns {count} engines");
            output.log(LogEvent::OwnershipTaken, &text);
        }
        if self.stream_owners_version != Some(members.version()) {
            self.stream_owners_version = Some(members.version());
            let candidates = members.owner_candidates();
            let owners: [Option<InstanceId>; CALL_STREAMS] =
                std::array::from_fn(|index| stream_owner(index, &candidates));
            let live = candidates.into_keys().collect();
            self.call_entries.set_owners(owners.clone());
            let actions = self.calls.set_owners(owners, live);
            self.route_calls(now, actions, output);
        }
    }

    fn read_upstreams(&mut self, now: Timestamp, output: &mut TickOutput) {
        let live = self.members.live_count();
        if self.upstreams.list_due(now, live) {
            output.actions.push(CoreAction::ReadInstanceList);
        }
        let owners = self.ownership.owners().clone();
        let local_instance = &self.setup.instance;
        for id in self
            .upstreams
            .capabilities_due(now, local_instance, &owners)
        {
            if let Some(entry) = self.upstreams.table().get(&id) {
                let event = EngineOrderEvent::ReadStarted(id.clone());
                let read = CoreAction::ReadCapability(id, entry.address);
                output.actions.push(read);
                self.handle_engine_order(now, event, output);
            }
        }
    }

    fn report_freshness(&mut self, now: Timestamp, output: &mut TickOutput) {
        let freshness = self.freshness.freshness(now);
        let before = self.reported_freshness.replace(freshness);
        if freshness == Freshness::Stale
            && before.is_some_and(|before| before != Freshness::Stale)
        {
            let text = "applied configuration not confirmed as the newest";
            output.log(LogEvent::ConfigurationStale, text);
        }
    }

    /// Whether this instance accepts new requests.
    pub(super) fn readiness(&self, now: Timestamp) -> InstanceReadiness {
        if self.stop.is_some() {
            InstanceReadiness::Stopping
        } else if !self.reader.is_ready() {
            InstanceReadiness::Starting
        } else if self.freshness.is_fresh(now) {
            InstanceReadiness::Ready
        } else {
            InstanceReadiness::Stale
        }
    }

    /// State that placement and grants read.
    pub(super) fn view(&self, now: Timestamp) -> FleetView<'_> {
        fleet_view!(self, now)
    }

    fn publish(&mut self, now: Timestamp, output: &mut TickOutput) {
        let readiness = self.readiness(now);
        let applied = self.reader.state().applied;
        let applied = applied.map_or(0, |offset| offset.get() + 1);
        let key = (applied, self.upstreams.version(), readiness);
        if self.published_version == Some(key) {
            return;
        }
        self.published_version = Some(key);
        let view = self.build_published(now, readiness);
        if let Some(old) = &self.published
            && Arc::ptr_eq(&old.fleet, &view.fleet)
            && old.addresses == view.addresses
            && old.peers == view.peers
            && old.readiness == view.readiness
            && old.services == view.services
            && old.models == view.models
            && old.listing == view.listing
        {
            return;
        }
        if readiness == InstanceReadiness::Ready
            && self.published.as_ref().map(|old| old.readiness)
                != Some(InstanceReadiness::Ready)
        {
            output.log(LogEvent::InstanceReady, "accepting requests");
        }
        self.published = Some(view.clone());
        output.actions.push(CoreAction::Publish(Arc::new(view)));
    }

    fn build_published(
        &self,
        now: Timestamp,
        readiness: InstanceReadiness,
    ) -> PublishedState {
        let callers = self.members.caller_addresses(&self.setup.domain);
        let addresses = callers
            .into_iter()
            .map(|(address, failure_domain)| InstanceAddress {
                address,
                failure_domain,
            })
            .collect();
        let mut published = PublishedState {
            fleet: self.reader.state().clone(),
            addresses,
            peers: self.members.peer_addresses(),
            readiness,
            listing: self.upstreams.listing().cloned().unwrap_or_default(),
            ..PublishedState::default()
        };
        let view = self.view(now);
        for (id, entry) in view.upstreams.iter() {
            if let Some(service) = &entry.service
                && view.accepts_work(id)
            {
                let processes = published.services.entry(service.clone());
                processes.or_default().push((id.clone(), entry.address));
            }
            if let Some(report) = &entry.capability {
                published.models.extend(report.models.iter().cloned());
            }
        }
        published
    }

    /// Handles one event.
    fn handle(
        &mut self,
        now: Timestamp,
        event: CoreEvent,
        output: &mut TickOutput,
    ) {
        match event {
            CoreEvent::RequestArrived(descriptor) => {
                self.handle_arrival(now, descriptor, output)
            }
            CoreEvent::Progress(request, progress) => {
                self.handle_progress(now, request, progress, output);
            }
            CoreEvent::StopRequested(schedule) => {
                self.begin_stop(now, schedule, output);
            }
            other => self.route_event(now, other, output),
        }
    }

    /// Assigns an id to a call and records where its result goes.
    pub(super) fn register_call(
        &mut self,
        purpose: CallPurpose,
    ) -> OutboundCallId {
        self.next_call += 1;
        let call = OutboundCallId(self.next_call);
        self.pending_calls.insert(call, purpose);
        call
    }

    /// Answers a call of a peer.
    pub(super) fn answer_peer(
        inbound: InboundCallId,
        reply: crate::peer_api::PeerResponse,
        output: &mut TickOutput,
    ) {
        output.actions.push(CoreAction::AnswerPeer(inbound, reply));
    }
}

#include "damaskroute/node/control_plane.h"

#include <string_view>
#include <unordered_set>
#include <utility>

#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

// Coalesces reports that arrive together into one new view of a service.
constexpr std::chrono::milliseconds kFlushDelay{2};

// Reports are sent again periodically, so that a coordinator that missed one eventually receives
// it. Each period covers this many coordinators of a service in turn: at the target size a node has
// 9 backend servers whose services have 94 coordinators, and sending to all of them in each period
// took twice the control traffic budget of a node.
constexpr std::chrono::seconds kReportResendPeriod{10};
constexpr std::size_t kCoordinatorsPerResend = 8;

// Delay after which reports that were lost with a connection are sent again, about the time that a
// process takes to restart. Membership takes a few seconds to declare a peer dead.
constexpr std::chrono::milliseconds kReconnectResendDelay{300};

TimePoint Now() { return SteadyClock().Now(); }

// Removes the entries whose names are not declared. A linear search for each entry took 30 ms of
// each change with 1,800 services.
template <typename Entries, typename Declared>
void EraseUndeclared(Entries& entries, const std::vector<Declared>& declared) {
  std::unordered_set<std::string_view> names;
  for (const Declared& item : declared) names.insert(item.name);
  std::erase_if(entries, [&](const auto& entry) { return !names.contains(entry.first); });
}

}  // namespace

ControlPlane::ControlPlane(EventLoop& loop, ControlIdentity identity, Snapshot<NodeView>& view,
                           ControlHooks hooks)
    : identity_(std::move(identity)),
      view_(view),
      hooks_(std::move(hooks)),
      node_hedge_budget_(kNodeHedgeRatio, kNodeHedgeBurst),
      placement_(std::make_shared<const Placement>(ConfigDocument{}, Roster{},
                                                   identity_.backends_per_node)),
      report_sequence_(identity_.incarnation),
      flush_timer_(loop.context()),
      report_timer_(loop.context()),
      share_timer_(loop.context()),
      resend_timer_(loop.context()) {
  ArmReportTimer();
}

void ControlPlane::InstallConfig(ConfigDocument config) {
  if (config.revision <= config_.revision) return;
  config_ = std::move(config);
  LogLine(LogLevel::kInfo, "configuration installed")
      .Field("revision", config_.revision)
      .Field("change_id", config_.change_id);
  if (hooks_.config_installed) hooks_.config_installed(config_.revision);
  Rebuild();
}

void ControlPlane::InstallRoster(Roster roster) {
  if (roster.revision <= roster_->revision) return;
  roster_ = std::make_shared<const Roster>(std::move(roster));
  LogLine(LogLevel::kInfo, "roster installed")
      .Field("revision", roster_->revision)
      .Field("seats", roster_->node_entries.size());
  Rebuild();
}

void ControlPlane::OnLocalEntryAdded(bool had_predecessor) {
  had_predecessor_ = had_predecessor;
  Rebuild();
}

void ControlPlane::Rebuild() {
  placement_ = std::make_shared<const Placement>(placement_->Next(config_, *roster_));
  for (const Service& service : config_.services) {
    auto& runtime = services_[service.name];
    if (!runtime) runtime = std::make_shared<ServiceRuntime>(service.name, node_hedge_budget_);
    MarkDirty(service.name);
  }
  EraseUndeclared(services_, config_.services);
  for (const SearchFront& front : config_.fronts) {
    auto& metrics = fronts_[front.name];
    if (!metrics) metrics = std::make_shared<FrontMetrics>();
  }
  EraseUndeclared(fronts_, config_.fronts);
  Publish();
  EnsureShareTable();
  if (shares_) {
    Apply(shares_->OnPlacement(placement_, roster_, Now()));
  }
  ReapplyLimits();
  SendReportsToNewCoordinators();
}

void ControlPlane::Publish() {
  NodeView view;
  view.config = config_;
  view.roster = *roster_;
  view.placement = *placement_;
  view.services = services_;
  view.fronts = fronts_;
  view_.Publish(std::move(view));
}

void ControlPlane::EnsureShareTable() {
  if (shares_ || !had_predecessor_ || roster_->revision == 0 || config_.revision == 0) return;
  ShareTableOptions options;
  options.self = identity_.node;
  options.incarnation = identity_.incarnation;
  options.started = started_;
  options.had_predecessor = *had_predecessor_;
  options.longest_call = identity_.longest_call;
  shares_.emplace(options);
}

void ControlPlane::Apply(const ShareTable::Actions& actions) {
  for (const ShareAction& action : actions) {
    if (const auto* limit = std::get_if<SetLimit>(&action)) {
      limits_[limit->backend] = *limit;
      ApplyLimit(*limit);
    } else if (const auto* send = std::get_if<SendShareMessage>(&action)) {
      std::visit([&](const auto& message) { hooks_.send_to_node(send->to, message); },
                 send->message);
    } else if (const auto* timer = std::get_if<SetShareTimer>(&action)) {
      share_timer_.expires_at(timer->at);
      share_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) Apply(shares_->OnTimer(Now()));
      });
    }
  }
}

void ControlPlane::ApplyLimit(const SetLimit& limit) {
  const BackendServer* backend = placement_->FindBackend(limit.backend);
  const Service* service = placement_->ServiceOf(limit.backend);
  HolderLoop::Limit change;
  if (backend != nullptr && service != nullptr) {
    change.service = service->name;
    change.backend = *backend;
    change.warm_up = service->warm_up;
    change.accepts_work = holding_ && AcceptsWork(config_, *backend);
  } else {
    change.backend.name = limit.backend;
  }
  change.share = limit.limit;
  change.sequence = limit.sequence;
  auto holders = placement_->HoldersOf(limit.backend);
  if (holders && holders->first != identity_.node) change.first_holder = holders->first;
  hooks_.set_limit(change);
}

// Taking out a zone, or a leaving backend server, changes no share but stops new work.
void ControlPlane::ReapplyLimits() {
  for (const auto& [name, limit] : limits_) ApplyLimit(limit);
}

void ControlPlane::StopHolding() {
  holding_ = false;
  ReapplyLimits();
}

int ControlPlane::HeldSlots() const {
  int total = 0;
  for (const auto& [name, limit] : limits_) total += limit.limit.slots;
  return total;
}

bool ControlPlane::HasReleasedShares() const { return !shares_ || shares_->ReadyToLeave(Now()); }

void ControlPlane::OnLocalReport(BackendReport report) {
  report.holder = identity_.node;
  report.sequence = ++report_sequence_;
  local_reports_[report.backend] = report;
  if (reports_.Apply(report)) MarkDirty(report.service);
  if (reported_to_.contains(report.service)) {
    SendReport(report);
  } else {
    SendReportsToNewCoordinators();
  }
}

void ControlPlane::SendReport(const BackendReport& report) {
  for (const NodeName& node : placement_->CoordinatorsOf(report.service)) {
    if (node != identity_.node) hooks_.send_to_node(node, report);
  }
}

// Sends only to new coordinators: a change of the configuration or the roster leaves nearly all
// coordinators unchanged, and there is about one change per second at the target size.
void ControlPlane::SendReportsToNewCoordinators() {
  std::map<ServiceName, std::set<std::pair<Endpoint, Incarnation>>> reported_to;
  std::map<ServiceName, std::vector<NodeName>> added;
  for (const auto& [name, report] : local_reports_) {
    if (reported_to.contains(report.service)) continue;
    auto& reported_now = reported_to[report.service];
    const auto& before = reported_to_[report.service];
    for (const NodeName& node : placement_->CoordinatorsOf(report.service)) {
      const RosterEntry* entry = roster_->Find(node);
      if (node == identity_.node || entry == nullptr || down_nodes_.contains(node)) continue;
      std::pair<Endpoint, Incarnation> process{entry->peer, entry->incarnation};
      if (!before.contains(process)) added[report.service].push_back(node);
      reported_now.insert(std::move(process));
    }
  }
  reported_to_ = std::move(reported_to);
  for (const auto& [name, report] : local_reports_) {
    auto it = added.find(report.service);
    if (it == added.end()) continue;
    for (const NodeName& node : it->second) hooks_.send_to_node(node, report);
  }
}

void ControlPlane::ResendReports() {
  ++resend_round_;
  for (const auto& [name, report] : local_reports_) {
    std::vector<NodeName> nodes = placement_->CoordinatorsOf(report.service);
    std::size_t rounds = (nodes.size() + kCoordinatorsPerResend - 1) / kCoordinatorsPerResend;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i] == identity_.node || i % rounds != resend_round_ % rounds) continue;
      hooks_.send_to_node(nodes[i], report);
    }
  }
}

void ControlPlane::OnNodeUp(const NodeName& node) {
  down_nodes_.erase(node);
  const RosterEntry* entry = roster_->Find(node);
  if (entry != nullptr) ForgetReportedPeer(entry->peer);
  SendReportsToNewCoordinators();
}

// A node that restarts while the store is down keeps its roster entry and its address, so only the
// lost connection shows that it needs the reports again.
void ControlPlane::OnPeerLost(const Endpoint& peer) {
  ForgetReportedPeer(peer);
  resend_timer_.expires_after(kReconnectResendDelay);
  resend_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SendReportsToNewCoordinators();
  });
}

void ControlPlane::ForgetReportedPeer(const Endpoint& peer) {
  for (auto& [service, processes] : reported_to_) {
    std::erase_if(processes, [&](const auto& process) { return process.first == peer; });
  }
}

void ControlPlane::OnPeerReport(const BackendReport& report) {
  if (reports_.Apply(report)) MarkDirty(report.service);
}

void ControlPlane::OnNodeDown(const NodeName& node) {
  down_nodes_.insert(node);
  if (!reports_.RemoveHolder(node)) return;
  for (const auto& [name, runtime] : services_) MarkDirty(name);
}

void ControlPlane::OnShareMessage(const NodeName& from, const ShareMessage& message) {
  if (shares_) Apply(shares_->OnMessage(from, message, Now()));
}

void ControlPlane::OnWithinLimit(const BackendName& backend, std::uint64_t sequence) {
  if (shares_) Apply(shares_->OnWithinLimit(backend, sequence, Now()));
}

void ControlPlane::MarkDirty(const ServiceName& service) {
  bool armed = !dirty_.empty();
  dirty_.insert(service);
  if (armed) return;
  flush_timer_.expires_after(kFlushDelay);
  flush_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) FlushViews();
  });
}

void ControlPlane::FlushViews() {
  for (const ServiceName& name : std::exchange(dirty_, {})) {
    auto it = services_.find(name);
    if (it == services_.end()) continue;
    it->second->view.Publish(reports_.MakeServiceView(name, config_, loads_));
    hooks_.view_changed(name);
  }
}

void ControlPlane::ArmReportTimer() {
  report_timer_.expires_after(kReportResendPeriod);
  report_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    SendReportsToNewCoordinators();
    ResendReports();
    loads_.Prune();
    ArmReportTimer();
  });
}

}  // namespace damaskroute

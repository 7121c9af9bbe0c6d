#include "damaskroute/node/control_plane.h"

#include <string_view>
#include <unordered_set>
#include <utility>

#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

// Reports that arrive together lead to one new view of a service.
constexpr std::chrono::milliseconds kFlushDelay{2};

// Repeats reports, so that a coordinator that missed one learns it in the end. In one period they
// go to so many coordinators of a service, in turn: at the target size a node has 9 backend servers
// whose services have 94 coordinators, and all in each period cost twice the control traffic that a
// node may have.
constexpr std::chrono::seconds kReportPeriod{10};
constexpr std::size_t kRepeatedCoordinators = 8;

// Reports that were lost with a connection are sent again after this time, about what a process
// needs to start again. Membership takes a few seconds to call a peer dead.
constexpr std::chrono::milliseconds kRetellDelay{300};

TimePoint Now() { return SteadyClock().Now(); }

// Removes the entries whose names are not declared. A search of the list for each entry took 30 ms
// of each change with 1,800 services.
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
      node_copies_(kNodeCopyRatio, kNodeCopyBurst),
      placement_(std::make_shared<const Placement>(ConfigDocument{}, Roster{},
                                                   identity_.backends_per_node)),
      report_sequence_(identity_.incarnation),
      flush_timer_(loop.context()),
      report_timer_(loop.context()),
      share_timer_(loop.context()),
      retell_timer_(loop.context()) {
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
      .Field("seats", roster_->seats.size());
  Rebuild();
}

void ControlPlane::OnSeat(bool had_predecessor) {
  had_predecessor_ = had_predecessor;
  Rebuild();
}

void ControlPlane::Rebuild() {
  placement_ = std::make_shared<const Placement>(placement_->Next(config_, *roster_));
  for (const Service& service : config_.services) {
    auto& runtime = services_[service.name];
    if (!runtime) runtime = std::make_shared<ServiceRuntime>(service.name, node_copies_);
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
  RefreshIntents();
  TellNewCoordinators();
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
      std::visit([&](const auto& message) { hooks_.to_node(send->to, message); }, send->message);
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

// A zone that is taken out, or a backend server that leaves, changes no share but stops the work.
void ControlPlane::RefreshIntents() {
  for (const auto& [name, limit] : limits_) ApplyLimit(limit);
}

void ControlPlane::StopHolding() {
  holding_ = false;
  RefreshIntents();
}

int ControlPlane::HeldSlots() const {
  int total = 0;
  for (const auto& [name, limit] : limits_) total += limit.limit.slots;
  return total;
}

bool ControlPlane::Released() const { return !shares_ || shares_->Idle(Now()); }

void ControlPlane::OnLocalReport(BackendReport report) {
  report.holder = identity_.node;
  report.sequence = ++report_sequence_;
  own_reports_[report.backend] = report;
  if (reports_.Apply(report)) MarkDirty(report.service);
  if (told_.contains(report.service)) {
    SendReport(report);
  } else {
    TellNewCoordinators();
  }
}

void ControlPlane::SendReport(const BackendReport& report) {
  for (const NodeName& node : placement_->CoordinatorsOf(report.service)) {
    if (node != identity_.node) hooks_.to_node(node, report);
  }
}

// A change of the configuration or the roster leaves nearly all coordinators as they are, and there
// is about one change a second at the target size.
void ControlPlane::TellNewCoordinators() {
  std::map<ServiceName, std::set<std::pair<Endpoint, Incarnation>>> told;
  std::map<ServiceName, std::vector<NodeName>> fresh;
  for (const auto& [name, report] : own_reports_) {
    if (told.contains(report.service)) continue;
    auto& now_told = told[report.service];
    const auto& before = told_[report.service];
    for (const NodeName& node : placement_->CoordinatorsOf(report.service)) {
      const Seat* seat = roster_->Find(node);
      if (node == identity_.node || seat == nullptr || lost_nodes_.contains(node)) continue;
      std::pair<Endpoint, Incarnation> process{seat->peer, seat->incarnation};
      if (!before.contains(process)) fresh[report.service].push_back(node);
      now_told.insert(std::move(process));
    }
  }
  told_ = std::move(told);
  for (const auto& [name, report] : own_reports_) {
    auto it = fresh.find(report.service);
    if (it == fresh.end()) continue;
    for (const NodeName& node : it->second) hooks_.to_node(node, report);
  }
}

void ControlPlane::RepeatReports() {
  ++repeat_round_;
  for (const auto& [name, report] : own_reports_) {
    std::vector<NodeName> nodes = placement_->CoordinatorsOf(report.service);
    std::size_t rounds = (nodes.size() + kRepeatedCoordinators - 1) / kRepeatedCoordinators;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i] == identity_.node || i % rounds != repeat_round_ % rounds) continue;
      hooks_.to_node(nodes[i], report);
    }
  }
}

void ControlPlane::OnNodeFound(const NodeName& node) {
  lost_nodes_.erase(node);
  const Seat* seat = roster_->Find(node);
  if (seat != nullptr) ForgetTold(seat->peer);
  TellNewCoordinators();
}

// A node that restarts while the store is down keeps its seat and its address, so only the lost
// connection shows that it needs the reports again.
void ControlPlane::OnPeerLost(const Endpoint& peer) {
  ForgetTold(peer);
  retell_timer_.expires_after(kRetellDelay);
  retell_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) TellNewCoordinators();
  });
}

void ControlPlane::ForgetTold(const Endpoint& peer) {
  for (auto& [service, processes] : told_) {
    std::erase_if(processes, [&](const auto& process) { return process.first == peer; });
  }
}

void ControlPlane::OnPeerReport(const BackendReport& report) {
  if (reports_.Apply(report)) MarkDirty(report.service);
}

void ControlPlane::OnNodeLost(const NodeName& node) {
  lost_nodes_.insert(node);
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
  report_timer_.expires_after(kReportPeriod);
  report_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    TellNewCoordinators();
    RepeatReports();
    loads_.Prune();
    ArmReportTimer();
  });
}

}  // namespace damaskroute

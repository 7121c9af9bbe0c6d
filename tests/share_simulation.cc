#include "tests/share_simulation.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace damaskroute {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string Text(const ShareEpoch& epoch) {
  return fmt::format("{}.{}.{}", epoch.roster, epoch.counter, epoch.node);
}

std::string Text(const ShareMessage& message) {
  return std::visit(
      [&](const auto& m) {
        std::string text = fmt::format("{} {}{} {}", message.index(), m.share.backend,
                                       static_cast<int>(m.share.half), Text(m.epoch));
        using Message = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<Message, ShareRelease>) {
          text += fmt::format(" {} {} {} {}", m.from, m.to, m.config, m.roster);
        } else if constexpr (std::is_same_v<Message, ShareReleaseAck>) {
          text += fmt::format(" {}", m.to);
        } else if constexpr (std::is_same_v<Message, ShareClaim>) {
          text += fmt::format(" {}", m.from);
        } else {
          text += fmt::format(" {} {} {} {} {}", m.from, m.to, static_cast<int>(m.claim_status),
                              m.roster, Text(m.highest));
        }
        return text;
      },
      message);
}

std::uint64_t CounterOf(const ShareMessage& message) {
  return std::visit([](const auto& m) { return m.epoch.counter; }, message);
}

// Incarnation that a message is addressed to; 0 if any.
Incarnation TargetOf(const ShareMessage& message) {
  if (const auto* release = std::get_if<ShareRelease>(&message)) return release->to;
  if (const auto* ack = std::get_if<ShareReleaseAck>(&message)) return ack->to;
  if (const auto* reply = std::get_if<ShareClaimReply>(&message)) return reply->to;
  return 0;
}

NodeName Name(int node) { return NodeName(1, static_cast<char>('a' + node)); }

}  // namespace

struct ShareSimulation::Node {
  explicit Node(ShareTableOptions options) : table(std::move(options)) {}
  TimePoint Now() const { return predecessor_ended ? kStart + std::chrono::seconds(60) : kStart; }

  ShareTable table;
  int node = 0;
  int roster = 0;  // Position in `rosters_`.
  int roster_number = 0;
  int config = 0;
  Incarnation incarnation = 0;
  bool had_predecessor = false;
  bool predecessor_ended = false;  // The longest call of an earlier process has ended.
  std::vector<int> calls;
  std::vector<SetLimit> limits;
};

struct ShareSimulation::Tables {
  struct Sent {
    int from;
    int to;
    ShareMessage message;
  };
  std::vector<std::shared_ptr<const ConfigDocument>> configs;
  std::vector<BackendName> backends;
  std::vector<std::shared_ptr<const Roster>> rosters;
  std::map<std::string, int> roster_numbers;
  std::map<std::pair<int, int>, std::shared_ptr<const Placement>> placements;
  std::deque<Node> nodes;  // A deque, so that references stay valid.
  std::unordered_map<std::string, int> node_numbers;
  std::vector<std::unordered_map<std::uint64_t, Outcome>> steps;  // By node number.
  std::deque<Sent> messages;
  std::unordered_map<std::string, int> message_numbers;

  int Intern(Node state) {
    std::string text = fmt::format("{} {} {} {} {} {} {} ", state.node, state.roster,
                                   state.roster_number, state.config, state.incarnation,
                                   state.had_predecessor, state.predecessor_ended) +
                       state.table.DebugString();
    for (int calls : state.calls) text += fmt::format(" {}", calls);
    auto [it, is_new] = node_numbers.try_emplace(text, static_cast<int>(nodes.size()));
    if (is_new) {
      nodes.push_back(std::move(state));
      steps.emplace_back();
    }
    return it->second;
  }
  int Intern(Sent sent) {
    std::string text = fmt::format("{} {} {}", sent.from, sent.to, Text(sent.message));
    auto [it, is_new] = message_numbers.try_emplace(text, static_cast<int>(messages.size()));
    if (is_new) messages.push_back(std::move(sent));
    return it->second;
  }
  int Intern(Roster roster) {
    std::string text = fmt::format("{}", roster.revision);
    for (const RosterEntry& entry : roster.node_entries) {
      text += fmt::format(" {}{}{}", entry.node, entry.incarnation, entry.leaving);
    }
    auto [it, is_new] = roster_numbers.try_emplace(text, static_cast<int>(rosters.size()));
    if (is_new) rosters.push_back(std::make_shared<const Roster>(std::move(roster)));
    return it->second;
  }
};

ShareSimulation::ShareSimulation(std::vector<ConfigDocument> configs, int nodes, Limits limits)
    : tables_(std::make_shared<Tables>()), limits_(limits), nodes_(nodes, -1) {
  for (const BackendServer& backend : configs.back().services[0].backends) {
    tables_->backends.push_back(backend.name);
  }
  orphans_.assign(nodes, std::vector<int>(tables_->backends.size()));
  for (ConfigDocument& config : configs) {
    config.revision = tables_->configs.size() + 1;
    tables_->configs.push_back(std::make_shared<const ConfigDocument>(std::move(config)));
  }
  rosters_.push_back(tables_->Intern(Roster{1, {}}));
}

void ShareSimulation::ResetBudget(Limits limits) {
  limits_ = limits;
  changes_ = 0;
  first_counter_ = counter_;
}

const ShareSimulation::Node& ShareSimulation::At(int node) const {
  return tables_->nodes[nodes_[node]];
}

bool ShareSimulation::IsInRoster(int node) const {
  return tables_->rosters[rosters_.back()]->Find(Name(node)) != nullptr;
}

bool ShareSimulation::HasOrphans(int node) const {
  return std::any_of(orphans_[node].begin(), orphans_[node].end(),
                     [](int calls) { return calls > 0; });
}

void ShareSimulation::WriteRoster(const std::function<void(Roster&)>& edit) {
  Roster next = *tables_->rosters[rosters_.back()];
  ++next.revision;
  edit(next);
  rosters_.push_back(tables_->Intern(std::move(next)));
}

void ShareSimulation::Remove(int node) {
  WriteRoster([node](Roster& roster) {
    std::erase_if(roster.node_entries,
                  [&](const RosterEntry& entry) { return entry.node == Name(node); });
  });
}

void ShareSimulation::Execute(Node& state, const ShareTable::Actions& actions,
                              std::vector<int>& sent) const {
  for (const ShareAction& action : actions) {
    if (const auto* send = std::get_if<SendShareMessage>(&action)) {
      sent.push_back(tables_->Intern(Tables::Sent{state.node, send->to[0] - 'a', send->message}));
      continue;
    }
    const auto* limit = std::get_if<SetLimit>(&action);
    if (limit == nullptr) continue;
    auto backend = std::find(tables_->backends.begin(), tables_->backends.end(), limit->backend) -
                   tables_->backends.begin();
    state.limits[backend] = *limit;
    // The channel reports immediately once its calls are within the limit.
    if (state.calls[backend] > limit->limit.slots) continue;
    Execute(state, state.table.OnWithinLimit(limit->backend, limit->sequence, state.Now()), sent);
  }
}

const ShareSimulation::Outcome& ShareSimulation::Compute(int id, std::uint64_t code,
                                                         const Step& step) const {
  auto it = tables_->steps[id].find(code);
  if (it != tables_->steps[id].end()) return it->second;
  Node state = tables_->nodes[id];
  Outcome outcome;
  ShareTable::Actions actions = step(state);
  Execute(state, actions, outcome.sent);
  outcome.node = tables_->Intern(std::move(state));
  return tables_->steps[id].emplace(code, std::move(outcome)).first->second;
}

void ShareSimulation::Run(int node, std::uint64_t code, const Step& step) {
  const Outcome& outcome = Compute(nodes_[node], code, step);
  nodes_[node] = outcome.node;
  for (int number : outcome.sent) {
    const ShareMessage& message = tables_->messages[number].message;
    counter_ = std::max(counter_, CounterOf(message));
    bool second =
        std::visit([](const auto& m) { return m.share.half == ShareHalf::kSecond; }, message);
    if (!second || limits_.both_halves) messages_.insert(number);
  }
}

namespace {

std::uint64_t Code(ShareSimulation::Kind kind, int value) {
  return (static_cast<std::uint64_t>(kind) << 32) | static_cast<std::uint32_t>(value);
}

}  // namespace

const ShareSimulation::Outcome& ShareSimulation::Delivery(int number) const {
  const Tables::Sent& sent = tables_->messages[number];
  return Compute(nodes_[sent.to], Code(Kind::kDeliver, number), [&](Node& state) {
    return state.table.OnMessage(Name(sent.from), sent.message, state.Now());
  });
}

bool ShareSimulation::HasNoEffect(int number) const {
  const Tables::Sent& sent = tables_->messages[number];
  Incarnation target = TargetOf(sent.message);
  if (nodes_[sent.to] < 0) return target != 0;
  if (target != 0 && target != At(sent.to).incarnation) return true;
  return Delivery(number).node == nodes_[sent.to];
}

bool ShareSimulation::IsObsolete(int number) const {
  if (!HasNoEffect(number)) return false;
  const Tables::Sent sent = tables_->messages[number];
  bool claim = std::holds_alternative<ShareClaim>(sent.message);
  if (nodes_[sent.to] < 0) return true;
  if (TargetOf(sent.message) != 0 && TargetOf(sent.message) != At(sent.to).incarnation) return true;
  std::vector<int> replies = Delivery(number).sent;
  // A claim to a node that holds the share or does not reply yet may have an effect later.
  if (claim && replies.empty()) return false;
  return std::all_of(replies.begin(), replies.end(), [&](int reply) {
    const auto* answer = std::get_if<ShareClaimReply>(&tables_->messages[reply].message);
    if (answer != nullptr && answer->claim_status == ClaimStatus::kHeld) return false;
    return messages_.contains(reply) || HasNoEffect(reply);
  });
}

void ShareSimulation::DropObsoleteMessages() {
  for (auto it = messages_.begin(); it != messages_.end();) {
    it = IsObsolete(*it) ? messages_.erase(it) : std::next(it);
  }
}

void ShareSimulation::ReceivePlacement(int node, int roster, int config) {
  auto& placement = tables_->placements[{rosters_[roster], config}];
  const auto& document = tables_->rosters[rosters_[roster]];
  if (placement == nullptr) {
    placement = std::make_shared<const Placement>(*tables_->configs[config], *document);
  }
  Run(node, Code(Kind::kReceiveRoster, rosters_[roster] * 2 + config), [&](Node& state) {
    state.roster = roster;
    state.roster_number = rosters_[roster];
    state.config = config;
    return state.table.OnPlacement(placement, document, state.Now());
  });
}

void ShareSimulation::Join(int node) {
  RosterEntry entry{Name(node), "zone", {}, next_incarnation_++, false};
  bool had_entry = IsInRoster(node);
  WriteRoster([&](Roster& roster) {
    std::erase_if(roster.node_entries,
                  [&](const RosterEntry& old) { return old.node == entry.node; });
    roster.node_entries.push_back(entry);
    std::sort(roster.node_entries.begin(), roster.node_entries.end(),
              [](const RosterEntry& a, const RosterEntry& b) { return a.node < b.node; });
  });
  ShareTableOptions options;
  options.self = entry.node;
  options.incarnation = entry.incarnation;
  options.started = kStart;
  options.had_predecessor = had_entry;
  options.claim_delay = options.initial_retry_delay = options.max_retry_delay = Duration::zero();
  Node state(options);
  state.node = node;
  state.incarnation = entry.incarnation;
  state.had_predecessor = had_entry;
  state.calls.resize(tables_->backends.size());
  state.limits.resize(tables_->backends.size());
  nodes_[node] = tables_->Intern(std::move(state));
  ReceivePlacement(node, static_cast<int>(rosters_.size()) - 1, config_);
}

std::vector<ShareSimulation::Event> ShareSimulation::Events() const {
  std::vector<Event> events;
  if (counter_ > first_counter_ + limits_.claims) return events;
  bool may_change = changes_ < limits_.changes;
  int last = static_cast<int>(rosters_.size()) - 1;
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
    bool orphans = HasOrphans(node);
    if (orphans) events.push_back({Kind::kOrphansEnd, node});
    if (nodes_[node] < 0) {
      if (may_change) events.push_back({Kind::kJoin, node});
      if (may_change && IsInRoster(node) && !orphans) events.push_back({Kind::kRemove, node});
      continue;
    }
    const Node& state = At(node);
    const RosterEntry* entry = tables_->rosters[rosters_.back()]->Find(Name(node));
    if (may_change) events.push_back({Kind::kCrash, node});
    if (may_change && entry != nullptr && !entry->leaving) events.push_back({Kind::kLeave, node});
    const RosterEntry* known = tables_->rosters[rosters_[state.roster]]->Find(Name(node));
    if (known != nullptr && known->leaving && state.table.ReadyToLeave(state.Now())) {
      events.push_back({Kind::kLeft, node});
    }
    if (state.roster < last) events.push_back({Kind::kReceiveRoster, node, state.roster + 1});
    if (state.roster + 1 < last) events.push_back({Kind::kReceiveRoster, node, last});
    if (state.config < config_) events.push_back({Kind::kReceiveConfig, node});
    if (state.had_predecessor && !state.predecessor_ended && !orphans) {
      events.push_back({Kind::kPredecessorEnded, node});
    }
    events.push_back({Kind::kTick, node});
    for (int i = 0; i < static_cast<int>(state.calls.size()); ++i) {
      if (state.calls[i] < state.limits[i].limit.slots) events.push_back({Kind::kStart, node, i});
      if (state.calls[i] > 0) events.push_back({Kind::kEnd, node, i});
    }
  }
  if (may_change && limits_.may_configure && config_ == 0) events.push_back({Kind::kConfigure});
  for (int number : messages_) {
    int to = tables_->messages[number].to;
    Incarnation target = TargetOf(tables_->messages[number].message);
    if (nodes_[to] < 0 || (target != 0 && target != At(to).incarnation)) continue;
    events.push_back({Kind::kDeliver, to, number});
  }
  return events;
}

void ShareSimulation::Apply(const Event& event) {
  int node = event.node;
  switch (event.kind) {
    case Kind::kJoin:
      ++changes_;
      Join(node);
      break;
    case Kind::kCrash:
    case Kind::kLeft:
      for (std::size_t i = 0; i < orphans_[node].size(); ++i) {
        orphans_[node][i] += At(node).calls[i];
      }
      nodes_[node] = -1;
      if (event.kind == Kind::kLeft) Remove(node);
      if (event.kind == Kind::kCrash) ++changes_;
      break;
    case Kind::kRemove:
      ++changes_;
      Remove(node);
      break;
    case Kind::kLeave:
      ++changes_;
      WriteRoster([node](Roster& roster) {
        for (RosterEntry& entry : roster.node_entries) {
          entry.leaving = entry.leaving || entry.node == Name(node);
        }
      });
      break;
    case Kind::kOrphansEnd:
      std::fill(orphans_[node].begin(), orphans_[node].end(), 0);
      break;
    case Kind::kConfigure:
      ++changes_;
      ++config_;
      break;
    case Kind::kReceiveRoster:
      ReceivePlacement(node, event.value, At(node).config);
      break;
    case Kind::kReceiveConfig:
      ReceivePlacement(node, At(node).roster, config_);
      break;
    case Kind::kPredecessorEnded:
      Run(node, Code(event.kind, 0), [](Node& state) {
        state.predecessor_ended = true;
        return ShareTable::Actions();
      });
      break;
    case Kind::kTick:
      Run(node, Code(event.kind, 0), [](Node& state) { return state.table.OnTimer(state.Now()); });
      break;
    case Kind::kStart:
      Run(node, Code(event.kind, event.value), [&](Node& state) {
        state.calls[event.value] = state.limits[event.value].limit.slots;
        return ShareTable::Actions();
      });
      break;
    case Kind::kEnd:
      Run(node, Code(event.kind, event.value), [&](Node& state) {
        state.calls[event.value] = 0;
        const SetLimit& limit = state.limits[event.value];
        return state.table.OnWithinLimit(limit.backend, limit.sequence, state.Now());
      });
      break;
    case Kind::kDeliver: {
      Delivery(event.value);
      Run(node, Code(event.kind, event.value), nullptr);
      break;
    }
  }
  DropObsoleteMessages();
}

int ShareSimulation::RunUntilStable() {
  limits_.changes = changes_;
  limits_.claims = 1000;
  limits_.both_halves = true;
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
    if (nodes_[node] < 0 && IsInRoster(node)) Remove(node);
  }
  for (int round = 0; round < 30; ++round) {
    for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
      if (HasOrphans(node)) Apply({Kind::kOrphansEnd, node});
      if (nodes_[node] < 0) continue;
      for (int i = 0; i < static_cast<int>(At(node).calls.size()); ++i) {
        Apply({Kind::kEnd, node, i});
      }
      Apply({Kind::kPredecessorEnded, node});
      ReceivePlacement(node, static_cast<int>(rosters_.size()) - 1, config_);
      Apply({Kind::kTick, node});
    }
    for (int hop = 0; hop < 4; ++hop) {
      for (int number : std::set<int>(messages_)) {
        int to = tables_->messages[number].to;
        if (nodes_[to] >= 0) Apply({Kind::kDeliver, to, number});
      }
    }
  }
  const std::vector<RosterEntry>& node_entries = tables_->rosters[rosters_.back()]->node_entries;
  bool any_active = std::any_of(node_entries.begin(), node_entries.end(),
                                [](const RosterEntry& entry) { return !entry.leaving; });
  return any_active ? tables_->configs[config_]->services[0].backends[0].slots : -1;
}

std::string ShareSimulation::Violation() const {
  for (std::size_t i = 0; i < tables_->backends.size(); ++i) {
    int used = 0;
    for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
      used += orphans_[node][i];
      if (nodes_[node] < 0) continue;
      used += std::max(At(node).calls[i], At(node).table.LimitOf(tables_->backends[i]).slots);
    }
    // The greatest limit applies until all nodes know a smaller one.
    int allowed = 0;
    for (int config = 0; config <= config_; ++config) {
      const Service& service = tables_->configs[config]->services[0];
      if (i < service.backends.size()) allowed = std::max(allowed, service.backends[i].slots);
    }
    if (used > allowed) return fmt::format("{}: {} of {}", tables_->backends[i], used, allowed);
  }
  return "";
}

int ShareSimulation::UsableSlots(const BackendName& backend) const {
  int used = 0;
  for (int id : nodes_) used += id < 0 ? 0 : tables_->nodes[id].table.LimitOf(backend).slots;
  return used;
}

std::string ShareSimulation::Key() const {
  std::string key;
  auto add = [&](int value) { key.append(reinterpret_cast<const char*>(&value), sizeof(value)); };
  add(changes_);
  add(config_);
  for (int id : nodes_) add(id);
  for (const std::vector<int>& calls : orphans_) {
    for (int count : calls) add(count);
  }
  for (int roster : rosters_) add(roster);
  add(-2);
  for (int number : messages_) add(number);
  return key;
}

std::string ShareSimulation::Describe() const {
  std::string text;
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
    text += Name(node) + ": " + (nodes_[node] < 0 ? "down" : At(node).table.DebugString());
    if (nodes_[node] >= 0) text += fmt::format(" calls {}", fmt::join(At(node).calls, " "));
    text += fmt::format(" orphans {}\n", fmt::join(orphans_[node], " "));
  }
  for (int number : messages_) {
    const Tables::Sent& sent = tables_->messages[number];
    text += Name(sent.from) + " to " + Name(sent.to) + " " + Text(sent.message) + "\n";
  }
  return text;
}

}  // namespace damaskroute

#include <string>

#include "damaskroute/node/forward_service.h"
#include "forward_exchange.h"

// Calls to backend servers whose version is being rolled out.

namespace damaskroute {

std::set<std::string> ForwardService::VersionsOf(const ServiceName& service) const {
  std::set<std::string> versions;
  for (const auto& server : forwarding_state_.backends().ServersOf(service)) {
    if (!server->entry.draining && !server->leaving) versions.insert(server->entry.version);
  }
  return versions;
}

std::int64_t ForwardService::CountOpenCalls(const ServiceName& service,
                                            const std::string& version) const {
  std::int64_t count = 0;
  for (const auto& exchange : active_) {
    for (const auto& [number, call] : exchange->calls) {
      const BackendEntry& entry = call.backend->entry;
      if (entry.service == service && entry.version != version) ++count;
    }
  }
  return count;
}

void ForwardService::CountRolloutCall(const Backend& backend) {
  if (rollouts_.empty()) return;
  if (RolloutDecider* decider = rollouts_.Find(backend.entry.service)) {
    decider->OnSent(backend.entry.version);
  }
}

// A call that was cancelled counts with its age, which its latency exceeds: otherwise a slow
// version would show only the calls that were not given up.
void ForwardService::TrackRollout(const Exchange& exchange, const Backend& backend, bool failed,
                                  Duration latency, TimePoint now) {
  if (rollouts_.empty()) return;
  if (RolloutDecider* decider = rollouts_.Find(backend.entry.service)) {
    decider->OnResponse(backend.entry.version, exchange.route->name, failed, latency, now);
  }
}

void ForwardService::WriteRollouts(JsonWriter& writer) const {
  if (rollouts_.empty()) return;
  writer.Key("rollouts");
  writer.StartArray();
  for (const auto& [service, decider] : rollouts_.deciders()) {
    auto verdict = RolloutVerdict::Judge(decider.Total(), RolloutVerdict::kEarlyScore);
    writer.StartObject();
    WriteText(writer, "service", service);
    WriteText(writer, "target_version", decider.target());
    WriteText(writer, "state", RolloutStateName(decider.state()));
    WriteText(writer, "holder", decider.known() ? decider.known()->holder : "");
    WriteText(writer, "promoted", decider.known() ? decider.known()->promoted.value_or("") : "");
    WriteText(writer, "stopped", decider.stopped() ? "yes" : "no");
    const CanaryShare* share = decider.share();
    WriteInteger(writer, "calls", share == nullptr ? 0 : share->calls());
    WriteInteger(writer, "target_calls", share == nullptr ? 0 : share->target_calls());
    WriteInteger(writer, "target_responses", verdict.target.responses);
    WriteInteger(writer, "target_failures", verdict.target.failures);
    WriteInteger(writer, "other_responses", verdict.others.responses);
    WriteInteger(writer, "other_failures", verdict.others.failures);
    writer.Key("failure_score");
    writer.Double(verdict.failure_score);
    writer.Key("slow_score");
    writer.Double(verdict.slow_score);
    writer.EndObject();
  }
  writer.EndArray();
}

void ForwardService::WriteRolloutMetrics(Exposition& page) const {
  if (rollouts_.empty()) return;
  page.Family("damaskroute_rollout_state", "gauge",
              "Rollouts: 0 running, 1 promoting, 2 rolling back, 3 withdrawn, 4 rolled back, 5 "
              "succeeded.");
  for (const auto& [service, decider] : rollouts_.deciders()) {
    page.Sample(Exposition::Label("service", service), static_cast<double>(decider.state()));
  }
  page.Family("damaskroute_rollout_target_calls", "gauge",
              "Calls of this node to the version under rollout since the order.");
  for (const auto& [service, decider] : rollouts_.deciders()) {
    const CanaryShare* share = decider.share();
    page.Sample(Exposition::Label("service", service),
                share == nullptr ? 0 : static_cast<double>(share->target_calls()));
  }
}

}  // namespace damaskroute

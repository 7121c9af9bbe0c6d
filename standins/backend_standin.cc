#include "standins/backend_standin.h"

#include "standins/backend_core.h"

namespace damaskroute::standins {

BackendStandin::BackendStandin(LoopThread& loop, BackendName name, const Endpoint& endpoint,
                               const BackendOptions& options, const HeldVersions& versions)
    : loop_(loop),
      name_(std::move(name)),
      core_(std::make_shared<BackendCore>(loop.io(), name_, endpoint, options)) {
  loop_.Run([&] {
    for (const auto& [version, ranges] : versions) core_->Publish(version, ranges);
  });
}

BackendStandin::~BackendStandin() {
  loop_.Run([this] { core_->Close(); });
}

absl::Status BackendStandin::Start() {
  return loop_.Run([this] { return core_->Start(); });
}

Endpoint BackendStandin::endpoint() const {
  return loop_.Run([this] { return core_->endpoint(); });
}

absl::Status BackendStandin::Control(std::string_view json) {
  return loop_.Run([&] { return core_->Control(json); });
}

BackendStats BackendStandin::Stats() const {
  return loop_.Run([this] { return core_->stats(); });
}

BootId BackendStandin::boot_id() const {
  return loop_.Run([this] { return core_->boot_id(); });
}

std::uint64_t BackendStandin::RequestCount(const std::string& request_id) const {
  return loop_.Run([&] { return core_->log().RequestCount(request_id); });
}

std::uint64_t BackendStandin::RunCount(const std::string& action_id) const {
  return loop_.Run([&] { return core_->log().RunCount(action_id); });
}

std::string BackendStandin::StatsJson() const {
  return loop_.Run([this] { return core_->StatsJson(); });
}

std::string BackendStandin::LogJson() const {
  return loop_.Run([this] { return core_->log().ToJson(); });
}

}  // namespace damaskroute::standins

#include "standins/platform_standin.h"

#include "standins/platform_core.h"

namespace damaskroute::standins {

PlatformStandin::PlatformStandin(LoopThread& loop, const Endpoint& endpoint,
                                 const PlatformOptions& options)
    : loop_(loop), core_(std::make_shared<PlatformCore>(loop.io(), endpoint, options)) {}

PlatformStandin::~PlatformStandin() {
  loop_.Run([this] { core_->Close(); });
}

absl::Status PlatformStandin::Start() {
  return loop_.Run([this] { return core_->Start(); });
}

Endpoint PlatformStandin::endpoint() const {
  return loop_.Run([this] { return core_->endpoint(); });
}

absl::Status PlatformStandin::Control(std::string_view json) {
  return loop_.Run([&] { return core_->Control(json); });
}

PlatformStats PlatformStandin::Stats() const {
  return loop_.Run([this] { return core_->Stats(); });
}

}  // namespace damaskroute::standins

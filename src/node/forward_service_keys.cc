#include <utility>
#include <vector>

#include "damaskroute/keys/authentication.h"
#include "damaskroute/node/forward_service.h"

// API keys of requests, and the age of the configuration that holds them.

namespace damaskroute {

bool ForwardService::HasTenants() const {
  const auto& routes = forwarding_state_.routes();
  return routes && routes->keys().is_configured();
}

std::vector<HeaderField> ForwardService::TakeCredentialsIfNeeded(HttpRequest& request) const {
  return HasTenants() ? TakeCredentials(request, protocol_) : std::vector<HeaderField>();
}

bool ForwardService::IsConfigurationTooOld() const {
  if (!options_.max_configuration_age) return false;
  auto age = configuration_age_ ? configuration_age_() : std::nullopt;
  return !age || *age > *options_.max_configuration_age;
}

// Returns false if the request was refused.
bool ForwardService::Authorize(CallerRequest& request, std::vector<HeaderField> credentials,
                               const Route& route, Origin& origin, const HttpResponder& respond) {
  const KeyTable& keys = forwarding_state_.routes()->keys();
  if (!keys.is_configured()) return true;
  Authentication result = Authenticate(credentials, route, keys, protocol_.authorization_scheme);
  origin.outdated = !route.is_public && IsConfigurationTooOld();
  // A newer configuration may contain the key.
  bool is_undecided = result.unknown_key && origin.outdated;
  if (result.refusal != nullptr && !is_undecided) {
    RefuseWith(request, 401, result.refusal,
               [&](HttpResponse response) {
                 response.headers.push_back({"WWW-Authenticate", protocol_.authorization_scheme});
                 respond(std::move(response));
               },
               {});
    return false;
  }
  if (credentials.size() == 1) request.authorization = std::move(credentials.front().value);
  if (result.tenant != nullptr) {
    origin.tenant = result.tenant;
    request.tenant = result.tenant->name;
    request.headers.push_back({protocol_.tenant, request.tenant});
  }
  return true;
}

}  // namespace damaskroute

#include "standins/control_standin.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace damaskroute::standins {

ControlStandin::ControlStandin(LoopThread& loop, std::vector<BackendStandin*> backends)
    : loop_(loop), backends_(std::move(backends)) {
  server_ = std::make_shared<HttpServer>(
      loop.io(), [this](const std::shared_ptr<HttpConnection>& connection, HttpRequest&& request) {
        Handle(*connection, request);
      });
}

ControlStandin::~ControlStandin() {
  loop_.Run([this] { server_->Close(); });
}

absl::Status ControlStandin::Start(const Endpoint& endpoint) {
  endpoint_ = endpoint;
  return loop_.Run([&] { return server_->Listen(endpoint); });
}

Endpoint ControlStandin::endpoint() const {
  return {endpoint_.address, loop_.Run([this] { return server_->port(); })};
}

void ControlStandin::Handle(HttpConnection& connection, const HttpRequest& request) {
  std::string_view path = Target(request);
  bool is_get = request.method() == boost::beast::http::verb::get;
  if (is_get && path == "/control/stats") {
    std::string all;
    for (const BackendStandin* backend : backends_) {
      all += fmt::format("{}{}", all.empty() ? "[" : ",\n", backend->StatsJson());
    }
    connection.Respond(200, "", all.empty() ? "[]" : all + "]");
    return;
  }
  if (!is_get && path == "/control") {
    absl::Status status;
    for (BackendStandin* backend : backends_) status.Update(backend->Control(request.body()));
    connection.Respond(status.ok() ? 200 : 400, "", std::string{status.message()});
    return;
  }
  std::size_t slash = path.find('/', 1);
  std::string_view name = path.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  std::string_view resource = slash == std::string_view::npos ? "" : path.substr(slash);
  auto backend = std::find_if(backends_.begin(), backends_.end(),
                              [&](const BackendStandin* each) { return each->name() == name; });
  bool found = backend != backends_.end();
  if (found && is_get && resource == "/control/stats") {
    connection.Respond(200, "", (*backend)->StatsJson());
  } else if (found && is_get && resource == "/control/log") {
    connection.Respond(200, "", (*backend)->LogJson());
  } else if (found && !is_get && resource == "/control") {
    absl::Status status = (*backend)->Control(request.body());
    connection.Respond(status.ok() ? 200 : 400, "", std::string{status.message()});
  } else {
    connection.Respond(404, "", "");
  }
}

}  // namespace damaskroute::standins

#include "damaskroute/relay/change_relay.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/relay/relayed_page.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Followers of one zone; a zone of the largest deployment has some thousand nodes, of which each
// reader serves half.
constexpr std::size_t kMaxFollowers = 2048;

// Longest wait that is granted. Followers ask for less.
constexpr milliseconds kLongestWait{10'000};

HttpServerOptions RelayOptions(const Endpoint& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_connections = kMaxFollowers;
  options.limits.max_body_bytes = 1024;
  return options;
}

// Value of a parameter in the query of a target; nothing if it is no number.
std::optional<std::uint64_t> NumberIn(std::string_view target, std::string_view name) {
  std::string key = std::string(name) + "=";
  std::size_t at = target.find(key);
  if (at == std::string_view::npos) return std::nullopt;
  std::string_view text = target.substr(at + key.size());
  text = text.substr(0, text.find('&'));
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) return std::nullopt;
  return number;
}

HttpResponse Failure(int status) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  return response;
}

}  // namespace

ChangeRelay::ChangeRelay(asio::io_context& loop, const Endpoint& listen,
                         std::function<Duration()> age)
    : loop_(loop), age_(std::move(age)) {
  server_.emplace(std::vector<asio::io_context*>{&loop}, RelayOptions(listen),
                  [this](const HttpRequest& request, HttpResponder respond) {
                    Handle(request, std::move(respond));
                  });
}

ChangeRelay::~ChangeRelay() = default;

absl::Status ChangeRelay::Start() { return server_->Start(); }

void ChangeRelay::Stop() {
  for (const auto& waiting : std::exchange(waiting_, {})) {
    waiting->timer.cancel();
    waiting->respond(Failure(503));
  }
  server_->BeginDrain();
}

void ChangeRelay::OnAllRead(std::uint64_t revision) {
  log_.Restart(revision);
  RespondToAll();
}

void ChangeRelay::OnChanges(const StorePage& page) {
  log_.Append(page.items, page.as_of, page.after_outage);
  if (!page.items.empty()) RespondToAll();
}

void ChangeRelay::Handle(const HttpRequest& request, HttpResponder respond) {
  auto after = NumberIn(request.target, "after");
  auto wait = NumberIn(request.target, "wait");
  if (!request.target.starts_with("/changes?") || !after || !wait) return respond(Failure(404));
  auto page = log_.After(*after);
  if (!page || !page->items.empty() || *wait == 0) return Respond(*after, respond);
  auto waiting =
      std::make_shared<Waiting>(Waiting{*after, std::move(respond), asio::steady_timer(loop_)});
  waiting_.insert(waiting);
  auto longest = static_cast<std::uint64_t>(kLongestWait.count());
  waiting->timer.expires_after(milliseconds(std::min(*wait, longest)));
  waiting->timer.async_wait([this, waiting](const boost::system::error_code&) {
    if (waiting_.erase(waiting) > 0) Respond(waiting->after, waiting->respond);
  });
}

void ChangeRelay::Respond(std::uint64_t after, const HttpResponder& respond) const {
  auto page = log_.After(after);
  if (!page) return respond(Failure(410));
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = EncodeRelayedPage(
      {*std::move(page), std::chrono::duration_cast<std::chrono::microseconds>(age_())});
  respond(std::move(response));
}

void ChangeRelay::RespondToAll() {
  for (const auto& waiting : std::exchange(waiting_, {})) {
    waiting->timer.cancel();
    Respond(waiting->after, waiting->respond);
  }
}

}  // namespace damaskroute

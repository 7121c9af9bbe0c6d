#include "standins/backend_core.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "damaskroute/core/hash.h"
#include "fmt/format.h"
#include "standins/service_time.h"

namespace damaskroute::standins {
namespace {

constexpr std::string_view kJsonType = "Content-Type: application/json\r\n";

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* end = text.data() + text.size();
  auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::string ErrorBody(std::string_view text) { return fmt::format(R"({{"error":"{}"}})", text); }

}  // namespace

BackendCore::BackendCore(asio::io_context& io, BackendName name, const Endpoint& endpoint,
                         const BackendOptions& options)
    : io_(io),
      name_(std::move(name)),
      endpoint_(endpoint),
      options_(options),
      random_(Hash64(name_, options.seed)) {}

absl::Status BackendCore::Start() {
  server_ = std::make_shared<HttpServer>(
      io_, [weak = weak_from_this()](const ConnectionPtr& connection, HttpRequest&& request) {
        if (auto self = weak.lock()) self->Handle(connection, std::move(request));
      });
  server_->options() = {options_.connections, options_.connect_cost};
  absl::Status status = server_->Listen(endpoint_);
  if (!status.ok()) return status;
  endpoint_.port = server_->port();
  Boot();
  if (options_.starts_cold) TurnCold();
  return absl::OkStatus();
}

void BackendCore::Close() {
  for (const CallPtr& call : calls_) {
    call->phase = BackendCall::Phase::kDone;
    call->timer.cancel();
  }
  calls_.clear();
  waiting_.clear();
  running_ = 0;
  down_ = true;
  if (server_) server_->Close();
}

void BackendCore::Boot() {
  // Derived from the system time rather than the seed, because a restarted process must have a
  // different id. Limited to 53 bits, the integers that a JSON reader with doubles represents
  // exactly.
  auto time = std::chrono::system_clock::now().time_since_epoch().count();
  boot_id_ = (Hash64(name_, static_cast<std::uint64_t>(time)) >> 11) | 1;
  down_ = false;
  draining_ = false;
}

void BackendCore::TurnCold() {
  cold_ = true;
  answers_until_warm_ = options_.cold_calls;
}

void BackendCore::Publish(IndexVersion version, const std::vector<KeyRange>& ranges) {
  KeyRangeSet held;
  for (const KeyRange& range : ranges) held.Add(range);
  versions_[version] = std::make_shared<const IndexRows>(options_.Index(), version, held);
}

void BackendCore::Handle(const ConnectionPtr& connection, HttpRequest&& request) {
  using boost::beast::http::verb;
  std::string_view path = Target(request);
  if (request.method() == verb::post && path == "/shard/query") {
    HandleCall(connection, request, false);
  } else if (request.method() == verb::post && path == "/shard/action") {
    HandleCall(connection, request, true);
  } else if (request.method() == verb::delete_ && path.starts_with("/shard/calls/")) {
    HandleCancel(connection, path.substr(std::string_view("/shard/calls/").size()));
  } else if (request.method() == verb::get && (path == "/health" || path == "/load")) {
    AnswerState(connection);
  } else {
    HandleControl(connection, request, path);
  }
}

void BackendCore::HandleControl(const ConnectionPtr& connection, const HttpRequest& request,
                                std::string_view path) {
  using boost::beast::http::verb;
  if (request.method() == verb::post && path == "/control") {
    absl::Status status = Control(request.body());
    if (status.ok()) {
      connection->Respond(200, kJsonType, "{}");
    } else {
      connection->Respond(400, kJsonType, ErrorBody(std::string{status.message()}));
    }
  } else if (request.method() == verb::get && path == "/control/stats") {
    connection->Respond(200, kJsonType, StatsJson());
  } else if (request.method() == verb::get && path == "/control/log") {
    connection->Respond(200, kJsonType, log_.ToJson());
  } else {
    connection->Respond(404, kJsonType, ErrorBody("no such resource"));
  }
}

void BackendCore::HandleCall(const ConnectionPtr& connection, const HttpRequest& request,
                             bool is_action) {
  ++stats_.received;
  auto call = std::make_shared<BackendCall>(io_);
  call->connection = connection;
  if (!ParseCall(*call, request, is_action)) {
    connection->Respond(400, kJsonType, ErrorBody("malformed headers or body"));
    return;
  }
  log_.RecordRequest(call->request_id, options_.log_length);
  if (faults_.ShouldInject(Fault::kResetBeforeRun, random_)) {
    connection->Reset();
  } else if (draining_ || faults_.ShouldInject(Fault::kShed, random_)) {
    Refuse(call, 503);
  } else if (!options_.ignore_deadline && call->deadline <= SteadyClock().Now()) {
    Refuse(call, 504);
  } else if (!ResolveRange(*call, request)) {
    Refuse(call, 409);
  } else {
    Admit(call);
  }
}

bool BackendCore::ParseCall(BackendCall& call, const HttpRequest& request, bool is_action) {
  call.request_id = Header(request, "Damask-Request-Id");
  auto attempt = ParseNumber<std::uint32_t>(Header(request, "Damask-Attempt"));
  auto deadline_ms = ParseNumber<std::uint32_t>(Header(request, "Damask-Deadline-Ms"));
  if (call.request_id.empty() || !attempt || !deadline_ms) return false;
  call.attempt = *attempt;
  call.deadline = SteadyClock().Now() + std::chrono::milliseconds(*deadline_ms);
  call.triggers_crash = !options_.crash_marker.empty() &&
                        request.body().find(options_.crash_marker) != std::string::npos;
  if (is_action) {
    call.action_id = Header(request, "Damask-Action-Id");
    return call.IsAction();
  }
  auto filter = RowFilter::Parse(request.body());
  if (!filter.ok()) return false;
  call.filter = *std::move(filter);
  return ParseNumber<IndexVersion>(Header(request, "Damask-Index-Version")).has_value() &&
         ParseKeyRange(Header(request, "Damask-Range")).has_value();
}

bool BackendCore::ResolveRange(BackendCall& call, const HttpRequest& request) {
  // Version and range are optional for an action; if both are given, the server must hold them.
  std::string_view version_text = Header(request, "Damask-Index-Version");
  std::string_view range_text = Header(request, "Damask-Range");
  if (call.IsAction() && (version_text.empty() || range_text.empty())) return true;
  auto range = ParseKeyRange(range_text);
  auto version = versions_.find(ParseNumber<IndexVersion>(version_text).value_or(0));
  if (!range || version == versions_.end()) return false;
  call.version = version->first;
  call.rows = version->second;
  call.range = version->second->FirstHeldOverlap(*range);
  return !call.range.IsEmpty();
}

void BackendCore::Admit(const CallPtr& call) {
  bool slot_free = running_ < options_.slots;
  if (!slot_free && waiting_.size() >= static_cast<std::size_t>(options_.queue_length)) {
    Refuse(call, 503);
    return;
  }
  calls_.push_back(call);
  RecordConcurrency();
  call->connection->set_on_peer_closed([weak = weak_from_this(), call] {
    if (auto self = weak.lock()) self->OnPeerClosed(call);
  });
  if (slot_free) {
    Run(call);
  } else {
    Enqueue(call);
  }
}

void BackendCore::RecordConcurrency() {
  std::uint64_t concurrent = calls_.size();
  if (!cold_) {
    stats_.max_concurrent_warm = std::max(stats_.max_concurrent_warm, concurrent);
    return;
  }
  stats_.max_concurrent_cold = std::max(stats_.max_concurrent_cold, concurrent);
  if (concurrent > static_cast<std::uint64_t>(options_.cold_slots)) {
    ++stats_.cold_overload;
    answers_until_warm_ = options_.cold_calls;  // Overload restarts the warm-up.
  }
}

void BackendCore::Enqueue(const CallPtr& call) {
  waiting_.push_back(call);
  if (options_.ignore_deadline) return;
  call->timer.expires_at(call->deadline);
  call->timer.async_wait([self = shared_from_this(), call](const boost::system::error_code& error) {
    if (error || call->phase != BackendCall::Phase::kWaiting) return;
    std::erase(self->waiting_, call);
    self->RemoveCall(call);
    self->Refuse(call, 504);
  });
}

void BackendCore::Run(const CallPtr& call) {
  call->phase = BackendCall::Phase::kRunning;
  ++running_;
  ++stats_.ran;
  if (call->IsAction()) {
    call->run_number = log_.RecordActionRun(call->action_id, call->attempt, call->request_id);
    if (call->run_number > 1) ++stats_.actions_repeated;
  }
  if (call->triggers_crash) {
    Crash();
    return;
  }
  Duration time = DrawServiceTime(options_, cold_, calls_.size(), random_);
  if (time.count() == 0) {
    Finish(call);
    return;
  }
  TimePoint end = SteadyClock().Now() + time;
  // A query stops at its deadline; an action that has started runs to completion.
  if (!call->IsAction() && !options_.ignore_deadline) end = std::min(end, call->deadline);
  call->timer.expires_at(end);
  call->timer.async_wait([self = shared_from_this(), call](const boost::system::error_code& error) {
    if (error || call->phase != BackendCall::Phase::kRunning) return;
    self->Finish(call);
  });
}

void BackendCore::Finish(const CallPtr& call) {
  RemoveCall(call);
  bool late =
      !call->IsAction() && !options_.ignore_deadline && call->deadline <= SteadyClock().Now();
  if (late) {
    Refuse(call, 504);
  } else {
    Answer(call);
  }
  RunWaiting();
}

void BackendCore::RemoveCall(const CallPtr& call) {
  if (call->phase == BackendCall::Phase::kRunning) --running_;
  call->phase = BackendCall::Phase::kDone;
  call->timer.cancel();
  call->connection->set_on_peer_closed(nullptr);
  std::erase(calls_, call);
}

void BackendCore::RunWaiting() {
  while (running_ < options_.slots && !waiting_.empty()) {
    CallPtr call = std::move(waiting_.front());
    waiting_.pop_front();
    call->timer.cancel();
    Run(call);
  }
}

void BackendCore::UpdateWarmup() {
  if (!cold_ || answers_until_warm_ == 0) return;
  if (--answers_until_warm_ == 0) cold_ = false;
}

std::string BackendCore::CommonHeaders() const {
  std::string_view state = State();
  if (options_.hide_cold && state == "cold") state = "warm";
  return fmt::format("Damask-Boot-Id: {}\r\nDamask-State: {}\r\nDamask-Inflight: {}\r\n", boot_id_,
                     state, InFlight());
}

void BackendCore::Refuse(const CallPtr& call, int status) {
  std::string headers = fmt::format("{}Damask-Request-Id: {}\r\nDamask-Attempt: {}\r\n",
                                    CommonHeaders(), call->request_id, call->attempt);
  if (status == 503) ++stats_.shed;
  if (status == 504) ++stats_.deadline_exceeded;
  if (status == 409) {
    ++stats_.version_gone;
    headers += "Damask-Versions: ";
    const char* separator = "";
    for (const auto& [version, rows] : versions_) {
      headers += fmt::format("{}{}", std::exchange(separator, ","), version);
    }
    headers += "\r\n";
  }
  call->connection->Respond(status, headers, "");
}

void BackendCore::Answer(const CallPtr& call) {
  UpdateWarmup();
  std::string body = call->IsAction() ? fmt::format(R"({{"run":{}}})", call->run_number)
                                      : call->rows->Select(call->filter, call->range);
  if (faults_.ShouldInject(Fault::kResetAfterRun, random_)) {
    call->connection->Reset();
  } else if (faults_.ShouldInject(Fault::kNoAnswer, random_)) {
    return;
  } else if (faults_.ShouldInject(Fault::kCrossedRefusal, random_)) {
    std::string headers = fmt::format("{}Damask-Request-Id: {}-other\r\nDamask-Attempt: {}\r\n",
                                      CommonHeaders(), call->request_id, call->attempt);
    call->connection->Respond(503, headers, "");
  } else if (faults_.ShouldInject(Fault::kLateAnswer, random_)) {
    call->timer.expires_after(options_.late_delay);
    call->timer.async_wait(
        [self = shared_from_this(), call, body](const boost::system::error_code& error) {
          if (!error) self->AnswerWithFaults(call, 200, body);
        });
  } else {
    AnswerWithFaults(call, 200, body);
  }
}

void BackendCore::AnswerWithFaults(const CallPtr& call, int status, const std::string& body) {
  ++stats_.answered;
  bool wrong_id = faults_.ShouldInject(Fault::kWrongRequestId, random_);
  std::uint32_t attempt =
      call->attempt + (faults_.ShouldInject(Fault::kWrongAttempt, random_) ? 1 : 0);
  IndexVersion version =
      call->version + (faults_.ShouldInject(Fault::kWrongVersion, random_) ? 1 : 0);
  KeyRange range = call->range;
  if (faults_.ShouldInject(Fault::kWrongRange, random_)) {
    range = range.low > 0 ? KeyRange{range.low - 1, range.high} : KeyRange{0, range.high + 1};
  }
  std::string headers =
      fmt::format("{}{}Damask-Request-Id: {}{}\r\nDamask-Attempt: {}\r\n", CommonHeaders(),
                  kJsonType, call->request_id, wrong_id ? "-other" : "", attempt);
  if (!range.IsEmpty()) {
    headers += fmt::format("Damask-Index-Version: {}\r\nDamask-Range: {}\r\n", version,
                           FormatKeyRange(range));
  }
  if (faults_.ShouldInject(Fault::kDuplicateHeaders, random_)) {
    headers += fmt::format("Damask-Request-Id: {}-copy\r\nDamask-Attempt: {}\r\n", call->request_id,
                           attempt + 1);
  }
  if (faults_.ShouldInject(Fault::kMalformedJson, random_)) {
    call->connection->Respond(status, headers, body.substr(0, body.size() / 2));
    return;
  }
  call->connection->Respond(status, headers, body);
}

void BackendCore::HandleCancel(const ConnectionPtr& connection, std::string_view path) {
  std::size_t slash = path.rfind('/');
  auto attempt = slash == std::string_view::npos
                     ? std::nullopt
                     : ParseNumber<std::uint32_t>(path.substr(slash + 1));
  if (!attempt) {
    connection->Respond(400, kJsonType, ErrorBody("expected ID/ATTEMPT"));
    return;
  }
  std::vector<CallPtr> found;
  for (const CallPtr& call : calls_) {
    if (call->attempt == *attempt && call->request_id == path.substr(0, slash)) {
      found.push_back(call);
    }
  }
  if (found.empty() || options_.ignore_cancel) {
    connection->Respond(found.empty() ? 404 : 202, CommonHeaders(), "");
    return;
  }
  for (const CallPtr& call : found) {
    std::erase(waiting_, call);
    RemoveCall(call);
    ++stats_.cancelled;
    call->connection->Respond(499, CommonHeaders(), "");
  }
  connection->Respond(200, CommonHeaders(), "");
  RunWaiting();
}

void BackendCore::OnPeerClosed(const CallPtr& call) {
  // An action that has started runs to completion even if its caller has disconnected.
  bool keeps_running = call->IsAction() && call->phase == BackendCall::Phase::kRunning;
  if (options_.ignore_cancel || keeps_running || call->phase == BackendCall::Phase::kDone) return;
  std::erase(waiting_, call);
  RemoveCall(call);
  ++stats_.disconnected;
  RunWaiting();
}

void BackendCore::Crash() {
  ++stats_.crashes;
  for (const CallPtr& call : calls_) {
    call->phase = BackendCall::Phase::kDone;
    call->timer.cancel();
  }
  calls_.clear();
  waiting_.clear();
  running_ = 0;
  down_ = true;
  server_->StopListening();
  server_->ResetConnections();
  auto timer = std::make_shared<asio::steady_timer>(io_, options_.restart_delay);
  timer->async_wait([weak = weak_from_this(), timer](const boost::system::error_code&) {
    if (auto self = weak.lock()) self->Restart();
  });
}

void BackendCore::Restart() {
  if (!down_ || !server_->Listen(endpoint_).ok()) return;
  Boot();
  TurnCold();
}

std::string_view BackendCore::State() const {
  if (down_) return "down";
  if (draining_) return "draining";
  return cold_ ? "cold" : "warm";
}

std::string BackendCore::StateJson(std::string_view state, std::string_view in_flight) const {
  std::string versions;
  for (const auto& [version, rows] : versions_) {
    std::string ranges;
    for (const KeyRange& range : rows->held().ranges()) {
      ranges += fmt::format(R"({}"{}")", ranges.empty() ? "" : ",", FormatKeyRange(range));
    }
    versions += fmt::format(R"({}{{"version":{},"ranges":[{}]}})", versions.empty() ? "" : ",",
                            version, ranges);
  }
  return fmt::format(
      R"({{"backend":"{}","state":"{}","boot_id":{},"in_flight":{},"slots":{},"versions":[{}]}})",
      name_, state, boot_id_, in_flight, options_.slots, versions);
}

void BackendCore::AnswerState(const ConnectionPtr& connection) {
  TimePoint now = SteadyClock().Now();
  if (state_json_.empty() || now - state_sampled_at_ >= options_.state_lag) {
    std::string true_count = fmt::format("{}", InFlight());
    state_json_ =
        StateJson(options_.reported_state.empty() ? State() : options_.reported_state,
                  options_.reported_in_flight.empty() ? true_count : options_.reported_in_flight);
    state_sampled_at_ = now;
  }
  connection->Respond(200, kJsonType, state_json_);
}

std::string BackendCore::StatsJson() const {
  const BackendStats& s = stats_;
  return fmt::format(
      R"({{"backend":"{}","state":"{}","boot_id":{},"in_flight":{},"received":{},"ran":{},)"
      R"("answered":{},"shed":{},"version_gone":{},"deadline_exceeded":{},"cancelled":{},)"
      R"("disconnected":{},"crashes":{},"cold_overload":{},"max_concurrent_cold":{},)"
      R"("max_concurrent_warm":{},"actions_repeated":{},"connections":{},"max_connections":{},)"
      R"("connections_accepted":{},"connections_refused":{}}})",
      name_, State(), boot_id_, InFlight(), s.received, s.ran, s.answered, s.shed, s.version_gone,
      s.deadline_exceeded, s.cancelled, s.disconnected, s.crashes, s.cold_overload,
      s.max_concurrent_cold, s.max_concurrent_warm, s.actions_repeated,
      server_ ? server_->connections() : 0, server_ ? server_->max_connections() : 0,
      server_ ? server_->accepted() : 0, server_ ? server_->refused() : 0);
}

}  // namespace damaskroute::standins

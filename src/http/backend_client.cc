#include "damaskroute/http/backend_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "damaskroute/core/time.h"
#include "response_reader.h"

namespace damaskroute {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// The concrete executor type avoids type-erased executors in the handlers, which took a fifth of
// the CPU time of an exchange (docs/decisions/0005).
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Timer =
    asio::basic_waitable_timer<TimePoint::clock, asio::wait_traits<TimePoint::clock>, Executor>;

// Most responses fit into the initial size; longer ones are read in steps of growing size.
constexpr std::size_t kInitialReadSize = 4 << 10;
constexpr std::size_t kMaxReadSize = 64 << 10;

// Memory that an idle connection keeps for its next request, and for its next response.
constexpr std::size_t kMaxKeptBytes = std::size_t{16} << 10;

// Number of unanswered keep-alive probes after which the kernel closes an idle connection.
constexpr int kKeepAliveProbes = 2;

// An idle connection is discarded this long before the end of the announced keep-alive timeout.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};

// Maximum number of mismatched and interim responses that one exchange skips.
constexpr int kMaxSkippedAnswers = 4;

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

/// A connection to the backend server and the exchange in progress on it.
struct BackendClient::Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(asio::io_context& loop) : socket(loop.get_executor()) {}

  // Whether the server has closed the idle connection or sent unsolicited bytes.
  bool IsStale() {
    char byte;
    ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }

  void Connect();
  void Write();
  void Read();
  void OnRead(const error_code& error, std::size_t size);
  void Parse(const error_code& error);
  bool IsSkipped() const;
  bool LacksRequestId();
  void SkipAnswer();
  void SetSocketOptions();
  void ReleaseRequest();
  void PostFailure(const error_code& error);
  void Fail(const error_code& error);
  void Finish(ExchangeResult result, bool reusable);

  // Ends the exchange by closing the socket, which fails the pending operation.
  void Abort(ExchangeEnd reason) {
    if (abort_reason.has_value()) return;
    abort_reason = reason;
    error_code ignored;
    socket.close(ignored);
  }

  Socket socket;
  boost::beast::flat_buffer buffer;
  std::size_t read_size = kInitialReadSize;

  // State of the current exchange.
  std::shared_ptr<State> state;  // Null while the connection is idle.
  std::size_t active_index = 0;  // In `State::active_connections`.
  std::uint64_t id = 0;
  std::string request;
  std::shared_ptr<const std::string> request_body;  // Sent after `request`; may be null.
  std::optional<ConnectionBudget::Place> place;
  std::string request_id;
  std::size_t sent = 0;
  int skipped_answers = 0;
  bool leaving = false;              // Announced in a skipped response.
  std::optional<double> rate_limit;  // Of the last skipped response that stated one.
  TimePoint deadline;
  TimePoint usable_until = TimePoint::max();  // From the server's Keep-Alive header.
  bool connecting = false;
  std::optional<ExchangeEnd> abort_reason;
  std::optional<internal::ResponseReader> reader;
  Callback done;
};

struct BackendClient::State : std::enable_shared_from_this<State> {
  State(asio::io_context& context, int connections, BackendClientOptions client_options)
      : options(std::move(client_options)),
        loop(context),
        timer(context.get_executor()),
        max_connections(static_cast<std::size_t>(std::max(connections, 0))) {}

  // Removes and returns an idle connection that is still usable; null if there is none.
  std::shared_ptr<Connection> TakeIdle() {
    while (!idle_connections.empty()) {
      auto connection = std::move(idle_connections.back());
      idle_connections.pop_back();
      if (Now() < connection->usable_until && !connection->IsStale()) return connection;
      --open_count;
    }
    return nullptr;
  }

  void Add(const std::shared_ptr<Connection>& connection) {
    connection->state = shared_from_this();
    connection->active_index = active_connections.size();
    active_connections.push_back(connection);
    if (connection->deadline < timer_expiry) ArmTimer(connection->deadline);
  }

  void Remove(const std::shared_ptr<Connection>& connection, bool reusable) {
    active_connections.back()->active_index = connection->active_index;
    active_connections[connection->active_index] = std::move(active_connections.back());
    active_connections.pop_back();
    connection->state.reset();
    if (reusable && !closed && open_count <= std::min(max_connections, max_idle_connections)) {
      idle_connections.push_back(connection);
    } else {
      --open_count;
    }
  }

  // One timer serves all exchanges and is rearmed only for an earlier deadline. Deadlines mostly
  // increase, so few exchanges rearm it.
  void ArmTimer(TimePoint at) {
    timer_expiry = at;
    timer.expires_at(at);
    timer.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->OnTimer();
    });
  }

  void OnTimer() {
    TimePoint now = Now();
    TimePoint next = TimePoint::max();
    for (const auto& connection : active_connections) {
      if (connection->deadline <= now) {
        connection->Abort(ExchangeEnd::kTimedOut);
      } else {
        next = std::min(next, connection->deadline);
      }
    }
    timer_expiry = TimePoint::max();
    if (next != TimePoint::max() && !closed) ArmTimer(next);
  }

  const BackendClientOptions options;
  asio::io_context& loop;
  Timer timer;
  TimePoint timer_expiry = TimePoint::max();
  asio::ip::tcp::endpoint endpoint;
  bool endpoint_valid = false;
  std::size_t max_connections;
  std::size_t max_idle_connections = std::numeric_limits<std::size_t>::max();
  std::size_t open_count = 0;
  std::uint64_t connect_count = 0;
  std::uint64_t next_id = 1;
  bool closed = false;
  bool echoes_request_ids = false;  // The server has echoed a request id before.
  std::vector<std::shared_ptr<Connection>> idle_connections;
  std::vector<std::shared_ptr<Connection>> active_connections;
};

void BackendClient::Connection::Connect() {
  connecting = true;
  ++state->connect_count;
  TimePoint final_deadline = deadline;
  if (state->options.connect_timeout.count() > 0) {
    deadline = std::min(deadline, Now() + state->options.connect_timeout);
    if (deadline < state->timer_expiry) state->ArmTimer(deadline);
  }
  socket.async_connect(state->endpoint,
                       [self = shared_from_this(), final_deadline](const error_code& error) {
                         if (error || self->abort_reason.has_value()) return self->Fail(error);
                         self->connecting = false;
                         self->deadline = final_deadline;
                         if (final_deadline < self->state->timer_expiry) {
                           self->state->ArmTimer(final_deadline);
                         }
                         self->SetSocketOptions();
                         if (self->request.empty()) {
                           return self->Finish({.end = ExchangeEnd::kAnswered}, true);
                         }
                         self->Write();
                       });
}

void BackendClient::Connection::SetSocketOptions() {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto unresponsive_ms = static_cast<unsigned>(state->options.unresponsive_timeout.count());
  if (unresponsive_ms == 0) return;
  int seconds = std::max(1, static_cast<int>(unresponsive_ms / 1000 / (kKeepAliveProbes + 1)));
  int on = 1;
  int fd = socket.native_handle();
  // On failure the system's defaults apply; each exchange still has its deadline.
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unresponsive_ms, sizeof unresponsive_ms);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
}

// Writes synchronously, as a request nearly always fits into the socket's send buffer.
void BackendClient::Connection::Write() {
  error_code error;
  std::size_t body_size = request_body ? request_body->size() : 0;
  std::size_t head_sent = std::min(sent, request.size());
  auto head = asio::buffer(request.data() + head_sent, request.size() - head_sent);
  if (body_size == 0) {
    sent += socket.write_some(head, error);
  } else {
    std::size_t body_sent = sent - head_sent;
    auto body = asio::buffer(request_body->data() + body_sent, body_size - body_sent);
    sent += socket.write_some(std::array<asio::const_buffer, 2>{head, body}, error);
  }
  if (error && error != asio::error::would_block) return PostFailure(error);
  if (sent == request.size() + body_size) {
    ReleaseRequest();
    return Read();
  }
  socket.async_wait(Socket::wait_write, [self = shared_from_this()](const error_code& failed) {
    if (failed || self->abort_reason.has_value()) return self->Fail(failed);
    self->Write();
  });
}

// An idle connection or one that awaits its response does not keep a large request in memory.
void BackendClient::Connection::ReleaseRequest() {
  request_body.reset();
  if (request.capacity() > kMaxKeptBytes) request = std::string();
}

void BackendClient::Connection::Read() {
  socket.async_read_some(buffer.prepare(read_size),
                         [self = shared_from_this()](const error_code& error, std::size_t size) {
                           self->OnRead(error, size);
                         });
}

void BackendClient::Connection::OnRead(const error_code& error, std::size_t size) {
  buffer.commit(size);
  if (size == read_size) read_size = std::min(read_size * 2, kMaxReadSize);
  Parse(error);
}

bool BackendClient::Connection::IsSkipped() const {
  if (skipped_answers >= kMaxSkippedAnswers) return false;
  if (reader->is_interim()) return true;
  const std::string& answered = reader->request_id();
  return state->options.skip_mismatched_answers && !answered.empty() && answered != request_id &&
         reader->keep_alive();
}

// If the server echoes request ids, a response without one may belong to any request, for example
// a late duplicate of an earlier response.
bool BackendClient::Connection::LacksRequestId() {
  if (!state->options.skip_mismatched_answers || request_id.empty()) return false;
  if (!reader->request_id().empty()) state->echoes_request_ids = true;
  return reader->request_id().empty() && state->echoes_request_ids;
}

void BackendClient::Connection::SkipAnswer() {
  ++skipped_answers;
  leaving = leaving || reader->leaving();
  if (reader->rate_limit()) rate_limit = reader->rate_limit();
  reader.emplace(state->options);
  if (buffer.size() > 0) return Parse({});
  Read();
}

void BackendClient::Connection::Parse(const error_code& error) {
  error_code failed = error;
  if (!error) {
    buffer.consume(reader->put(buffer.data(), failed));
    if (failed == http::error::need_more) failed = {};
    if (!failed && reader->is_done() && IsSkipped()) return SkipAnswer();
  } else if (error == asio::error::eof && reader->got_some()) {
    failed = {};
    reader->put_eof(failed);
  }
  if (failed) return Fail(failed);
  if (!reader->is_done()) {
    // The parser does not limit the size of chunk framing and trailers.
    if (buffer.size() > state->options.max_head_bytes) return Fail(http::error::header_limit);
    if (abort_reason.has_value()) return Fail(asio::error::operation_aborted);
    return Read();
  }
  if (reader->is_interim()) return Fail(http::error::bad_status);
  if (LacksRequestId()) return Fail(http::error::bad_field);
  bool reusable = !abort_reason.has_value() && !error && reader->keep_alive() && buffer.size() == 0;
  auto idle_time = reader->keep_alive_timeout();
  usable_until = idle_time ? Now() + *idle_time - kKeepAliveMargin : TimePoint::max();
  ExchangeResult result = reader->TakeResult();
  // After a mismatched response, the following response would be mismatched as well.
  if (!result.request_id.empty() && result.request_id != request_id) reusable = false;
  Finish(std::move(result), reusable);
}

void BackendClient::Connection::PostFailure(const error_code& error) {
  asio::post(state->loop, [self = shared_from_this(), error] { self->Fail(error); });
}

void BackendClient::Connection::Fail(const error_code& error) {
  ExchangeResult result;
  if (connecting) {
    result.end = ExchangeEnd::kConnectFailed;  // No byte of the request was sent.
    result.refused = error == asio::error::connection_refused;
  } else if (abort_reason.has_value()) {
    result.end = *abort_reason;
  } else if (error == http::error::end_of_stream || error == http::error::partial_message ||
             error.category() != http::make_error_code(http::error::bad_version).category()) {
    result.end = ExchangeEnd::kConnectionLost;
  } else {
    result.end = ExchangeEnd::kBadAnswer;
  }
  Finish(std::move(result), /*reusable=*/false);
}

void BackendClient::Connection::Finish(ExchangeResult result, bool reusable) {
  auto self = shared_from_this();  // `active_connections` may hold the last reference.
  Callback callback = std::exchange(done, nullptr);
  result.leaving = result.leaving || leaving || (reader && reader->leaving());
  if (!result.rate_limit && reader) result.rate_limit = reader->rate_limit();
  if (!result.rate_limit) result.rate_limit = rate_limit;
  ReleaseRequest();
  if (buffer.size() == 0 && buffer.capacity() > kMaxKeptBytes) buffer.shrink_to_fit();
  bool closed = state->closed;
  state->Remove(self, reusable);
  if (!closed) callback(std::move(result));
}

BackendClient::BackendClient(asio::io_context& loop, const Endpoint& endpoint, int max_connections,
                             BackendClientOptions options)
    : state_(std::make_shared<State>(loop, max_connections, std::move(options))) {
  error_code error;
  auto address = asio::ip::make_address(endpoint.address, error);
  state_->endpoint = asio::ip::tcp::endpoint(address, endpoint.port);
  state_->endpoint_valid = !error;
}

BackendClient::~BackendClient() {
  state_->closed = true;
  CloseIdleConnections();
  // Not called any more. If the loop has ended, `Finish` would never release them.
  std::vector<Callback> released;
  for (const auto& connection : state_->active_connections) {
    connection->Abort(ExchangeEnd::kCancelled);
    released.push_back(std::exchange(connection->done, nullptr));
  }
  state_->timer.cancel();
}

std::uint64_t BackendClient::Start(ExchangeRequest request, Callback done) {
  State& state = *state_;
  std::uint64_t id = state.next_id++;
  auto connection = state.TakeIdle();
  bool is_new = connection == nullptr;
  if (is_new) {
    if (!state.endpoint_valid || state.open_count >= state.max_connections) {
      asio::post(state.loop, [state = state_, done = std::move(done)] {
        if (!state->closed) done(ExchangeResult{});
      });
      return id;
    }
    const auto& budget = state.options.connection_budget;
    if (budget && !budget->HasPlace()) {
      asio::post(state.loop, [state = state_, done = std::move(done)] {
        ExchangeResult result;
        result.no_descriptor = true;
        if (!state->closed) done(std::move(result));
      });
      return id;
    }
    connection = std::make_shared<Connection>(state.loop);
    if (budget) connection->place.emplace(budget);
    ++state.open_count;
  }
  connection->id = id;
  connection->request = std::move(request.bytes);
  connection->request_body = std::move(request.body);
  connection->request_id = std::move(request.request_id);
  connection->sent = 0;
  connection->deadline = Now() + request.time_left;
  connection->skipped_answers = 0;
  connection->leaving = false;
  connection->rate_limit.reset();
  connection->reader.emplace(state.options);
  connection->done = std::move(done);
  state.Add(connection);
  if (is_new) {
    connection->Connect();
  } else {
    connection->Write();
  }
  return id;
}

void BackendClient::Open(Callback done) {
  State& state = *state_;
  if (!state.endpoint_valid || state.open_count >= state.max_connections) {
    asio::post(state.loop, [done = std::move(done)] { done({}); });
    return;
  }
  auto connection = std::make_shared<Connection>(state.loop);
  ++state.open_count;
  connection->id = state.next_id++;
  connection->deadline = TimePoint::max();
  connection->done = std::move(done);
  state.Add(connection);
  connection->Connect();
}

void BackendClient::OpenConnection(std::function<void(bool opened)> done) {
  Open([done = std::move(done)](const ExchangeResult& result) {
    done(result.end == ExchangeEnd::kAnswered);
  });
}

void BackendClient::CheckRefused(std::function<void(bool refused)> done) {
  const auto& idle = state_->idle_connections;
  if (std::any_of(idle.begin(), idle.end(),
                  [](const auto& connection) { return !connection->IsStale(); })) {
    asio::post(state_->loop, [done = std::move(done)] { done(false); });
    return;
  }
  Open([done = std::move(done)](const ExchangeResult& result) { done(result.refused); });
}

bool BackendClient::CanStart() const {
  return !state_->idle_connections.empty() ||
         (state_->endpoint_valid && state_->open_count < state_->max_connections);
}

void BackendClient::Cancel(std::uint64_t id) {
  for (const auto& connection : state_->active_connections) {
    if (connection->id == id) return connection->Abort(ExchangeEnd::kCancelled);
  }
}

void BackendClient::SetMaxConnections(int max_connections) {
  state_->max_connections = static_cast<std::size_t>(std::max(max_connections, 0));
  while (state_->open_count > state_->max_connections && !state_->idle_connections.empty()) {
    state_->idle_connections.pop_back();
    --state_->open_count;
  }
}

void BackendClient::SetMaxIdleConnections(int max_idle_connections) {
  state_->max_idle_connections = static_cast<std::size_t>(std::max(max_idle_connections, 0));
}

std::size_t BackendClient::CloseIdleConnections() {
  std::size_t count = state_->idle_connections.size();
  state_->open_count -= count;
  state_->idle_connections.clear();
  return count;
}

std::size_t BackendClient::open_connections() const { return state_->open_count; }

std::uint64_t BackendClient::connect_count() const { return state_->connect_count; }

}  // namespace damaskroute

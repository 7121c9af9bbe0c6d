#include "damaskroute/http/backend_client.h"

#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskroute {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

// A response body above this size ends the exchange, as it would fill the node's memory.
constexpr std::uint64_t kMaxResponseBytes = 8 * 1024 * 1024;

struct Connection {
  explicit Connection(asio::io_context& loop) : stream(loop) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool cancelled = false;
};

auto Redirect(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Whether the server has closed the idle connection or sent bytes that nobody asked for.
bool IsStale(Connection& connection) {
  char byte;
  ssize_t count =
      recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

template <typename T>
T NumberOr(beast::string_view text, T fallback) {
  T value{};
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

void ReadHeaders(const http::response<http::string_body>& response, ExchangeResult& result) {
  result.status = static_cast<int>(response.result_int());
  result.request_id = std::string(response["Damask-Request-Id"]);
  result.attempt = NumberOr(response["Damask-Attempt"], std::uint32_t{0});
  result.version = NumberOr(response["Damask-Index-Version"], IndexVersion{0});
  result.boot_id = NumberOr(response["Damask-Boot-Id"], BootId{0});
  result.state = std::string(response["Damask-State"]);
  auto range = response["Damask-Range"];
  result.range = ParseKeyRange(std::string_view(range.data(), range.size())).value_or(KeyRange{});
}

}  // namespace

struct BackendClient::State {
  State(asio::io_context& loop, int max_connections)
      : loop(loop), max_connections(static_cast<std::size_t>(std::max(max_connections, 0))) {}

  asio::io_context& loop;
  Tcp::endpoint endpoint;
  bool endpoint_valid = false;
  std::size_t max_connections;
  std::size_t open = 0;
  std::uint64_t connects = 0;
  std::uint64_t next_id = 1;
  bool closed = false;
  std::vector<std::unique_ptr<Connection>> idle;
  std::unordered_map<std::uint64_t, Connection*> running;

  // Takes an idle connection that is still usable; null if there is none.
  std::unique_ptr<Connection> TakeIdle() {
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      if (!IsStale(*connection)) return connection;
      --open;
    }
    return nullptr;
  }

  void Return(std::unique_ptr<Connection> connection, bool reusable) {
    if (reusable && !closed && open <= max_connections) {
      connection->stream.expires_never();
      idle.push_back(std::move(connection));
    } else {
      --open;
    }
  }
};

namespace {

using StatePtr = std::shared_ptr<BackendClient::State>;

ExchangeEnd EndOf(const Connection& connection, const error_code& error) {
  if (connection.cancelled) return ExchangeEnd::kCancelled;
  if (error == beast::error::timeout) return ExchangeEnd::kTimedOut;
  if (error == http::error::end_of_stream || error == http::error::partial_message ||
      error.category() != http::make_error_code(http::error::bad_version).category()) {
    return ExchangeEnd::kConnectionLost;
  }
  return ExchangeEnd::kBadAnswer;
}

// Opens a connection. kAnswered stands for success.
asio::awaitable<ExchangeEnd> Connect(StatePtr state, Connection& connection) {
  error_code error;
  ++state->connects;
  co_await connection.stream.async_connect(state->endpoint, Redirect(error));
  // Nothing was sent, whatever the reason is.
  if (error) co_return ExchangeEnd::kConnectFailed;
  connection.stream.socket().set_option(Tcp::no_delay(true), error);
  co_return ExchangeEnd::kAnswered;
}

asio::awaitable<ExchangeResult> Exchange(Connection& connection, const std::string& bytes,
                                         bool& reusable) {
  ExchangeResult result;
  error_code error;
  co_await asio::async_write(connection.stream, asio::buffer(bytes), Redirect(error));
  if (error) {
    result.end = EndOf(connection, error);
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  co_await http::async_read(connection.stream, connection.buffer, parser, Redirect(error));
  if (error) {
    result.end = EndOf(connection, error);
    co_return result;
  }
  auto response = parser.release();
  ReadHeaders(response, result);
  result.body = std::move(response.body());
  result.end = ExchangeEnd::kAnswered;
  reusable = response.keep_alive() && connection.buffer.size() == 0;
  co_return result;
}

asio::awaitable<void> RunExchange(StatePtr state, std::uint64_t id, ExchangeRequest request,
                                  BackendClient::Callback done) {
  ExchangeResult result;
  auto connection = state->TakeIdle();
  bool is_new = connection == nullptr;
  if (is_new && state->endpoint_valid && state->open < state->max_connections) {
    connection = std::make_unique<Connection>(state->loop);
    ++state->open;
  }
  if (connection != nullptr) {
    state->running.emplace(id, connection.get());
    connection->stream.expires_after(request.time_left);
    bool reusable = false;
    ExchangeEnd connected = ExchangeEnd::kAnswered;
    if (is_new) connected = co_await Connect(state, *connection);
    if (connected == ExchangeEnd::kAnswered) {
      result = co_await Exchange(*connection, request.bytes, reusable);
    }
    // After the answer to another request the next one would be crossed as well.
    if (!result.request_id.empty() && result.request_id != request.request_id) reusable = false;
    state->running.erase(id);
    state->Return(std::move(connection), reusable);
  }
  done(std::move(result));
}

}  // namespace

BackendClient::BackendClient(asio::io_context& loop, Endpoint endpoint, int max_connections)
    : state_(std::make_shared<State>(loop, max_connections)) {
  error_code error;
  auto address = asio::ip::make_address(endpoint.address, error);
  state_->endpoint = Tcp::endpoint(address, endpoint.port);
  state_->endpoint_valid = !error;
}

BackendClient::~BackendClient() {
  state_->closed = true;
  state_->open -= state_->idle.size();
  state_->idle.clear();
}

std::uint64_t BackendClient::Start(ExchangeRequest request, Callback done) {
  std::uint64_t id = state_->next_id++;
  asio::co_spawn(state_->loop, RunExchange(state_, id, std::move(request), std::move(done)),
                 asio::detached);
  return id;
}

void BackendClient::Cancel(std::uint64_t id) {
  auto it = state_->running.find(id);
  if (it == state_->running.end()) return;
  it->second->cancelled = true;
  it->second->stream.cancel();
}

void BackendClient::SetMaxConnections(int max_connections) {
  state_->max_connections = static_cast<std::size_t>(std::max(max_connections, 0));
  while (state_->open > state_->max_connections && !state_->idle.empty()) {
    state_->idle.pop_back();
    --state_->open;
  }
}

std::size_t BackendClient::open_connections() const { return state_->open; }

std::uint64_t BackendClient::connects() const { return state_->connects; }

}  // namespace damaskroute

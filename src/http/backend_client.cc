#include "damaskroute/http/backend_client.h"

#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
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
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{8} << 20;

struct Connection {
  explicit Connection(asio::io_context& loop) : stream(loop) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  bool cancelled = false;
};

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

// One exchange on one connection. Kept alive by the handlers of its operations.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(StatePtr state, std::uint64_t id, ExchangeRequest request, BackendClient::Callback done)
      : state_(std::move(state)), id_(id), request_(std::move(request)), done_(std::move(done)) {}

  void Start() {
    connection_ = state_->TakeIdle();
    if (connection_) {
      Begin();
      Write();
      return;
    }
    if (!state_->endpoint_valid || state_->open >= state_->max_connections) {
      Finish(ExchangeEnd::kConnectFailed, false);
      return;
    }
    connection_ = std::make_unique<Connection>(state_->loop);
    ++state_->open;
    ++state_->connects;
    Begin();
    connection_->stream.async_connect(
        state_->endpoint, [self = shared_from_this()](const error_code& error) {
          // Nothing was sent, whatever the reason is.
          if (error) return self->Finish(ExchangeEnd::kConnectFailed, false);
          error_code ignored;
          self->connection_->stream.socket().set_option(Tcp::no_delay(true), ignored);
          self->Write();
        });
  }

 private:
  void Begin() {
    state_->running.emplace(id_, connection_.get());
    connection_->stream.expires_after(request_.time_left);
  }

  void Write() {
    asio::async_write(connection_->stream, asio::buffer(request_.bytes),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (error) return self->Finish(EndOf(*self->connection_, error), false);
                        self->Read();
                      });
  }

  void Read() {
    auto& parser = connection_->parser;
    parser.emplace();
    parser->body_limit(kMaxResponseBytes);
    http::async_read(connection_->stream, connection_->buffer, *parser,
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                       if (error) return self->Finish(EndOf(*self->connection_, error), false);
                       self->OnResponse();
                     });
  }

  void OnResponse() {
    auto response = connection_->parser->release();
    ReadHeaders(response, result_);
    result_.body = std::move(response.body());
    bool reusable = response.keep_alive() && connection_->buffer.size() == 0;
    // After the answer to another request the next one would be crossed as well.
    if (!result_.request_id.empty() && result_.request_id != request_.request_id) reusable = false;
    Finish(ExchangeEnd::kAnswered, reusable);
  }

  void Finish(ExchangeEnd end, bool reusable) {
    result_.end = end;
    if (connection_) {
      connection_->parser.reset();
      state_->running.erase(id_);
      state_->Return(std::move(connection_), reusable);
    }
    done_(std::move(result_));
  }

  StatePtr state_;
  std::uint64_t id_;
  ExchangeRequest request_;
  BackendClient::Callback done_;
  std::unique_ptr<Connection> connection_;
  ExchangeResult result_;
};

}  // namespace

BackendClient::BackendClient(asio::io_context& loop, const Endpoint& endpoint, int max_connections)
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
  auto exchange = std::make_shared<Exchange>(state_, id, std::move(request), std::move(done));
  // Posted, so that `done` is never called from within `Start`.
  asio::post(state_->loop, [exchange] { exchange->Start(); });
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

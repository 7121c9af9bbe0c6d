#include "standins/fault_proxy.h"

#include <array>
#include <utility>

namespace damaskroute::standins {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class Link;

}  // namespace

struct FaultProxy::SharedState {
  explicit SharedState(asio::io_context& context) : io(context), acceptor(context) {}

  asio::io_context& io;
  Tcp::acceptor acceptor;
  Tcp::endpoint target;
  LinkMode mode = LinkMode::kPass;
  std::chrono::milliseconds delay{};
  std::unordered_set<Link*> links;
  std::size_t silenced_blocks = 0;
};

namespace {

// A client connection and the corresponding connection to the server.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::shared_ptr<FaultProxy::SharedState> shared, Tcp::socket client)
      : shared_(std::move(shared)), client_(std::move(client)), server_(shared_->io) {
    shared_->links.insert(this);
  }
  ~Link() { shared_->links.erase(this); }

  void Start() {
    server_.async_connect(shared_->target, [self = shared_from_this()](const error_code& error) {
      if (error) return self->Reset();
      error_code ignored;
      self->client_.set_option(Tcp::no_delay(true), ignored);
      self->server_.set_option(Tcp::no_delay(true), ignored);
      self->Read(self->client_, self->server_, self->client_buffer_);
      self->Read(self->server_, self->client_, self->server_buffer_);
    });
  }

  void Silence() { silent_ = true; }

  void Reset() {
    error_code ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    server_.set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  bool IsUnresponsive() const { return silent_ || shared_->mode == LinkMode::kUnresponsive; }

  bool ShouldDrop(const Tcp::socket& to) const {
    if (IsUnresponsive()) return true;
    bool to_server = &to == &server_;
    return shared_->mode == (to_server ? LinkMode::kDropToServer : LinkMode::kDropFromServer);
  }

  void Read(Tcp::socket& from, Tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                                   const error_code& error, std::size_t size) {
      if (error) return self->OnReadError(to);
      if (self->silent_ && &to == &self->server_) ++self->shared_->silenced_blocks;
      if (self->ShouldDrop(to)) return self->Read(from, to, buffer);
      self->Forward(from, to, buffer, size);
    });
  }

  void Forward(Tcp::socket& from, Tcp::socket& to, Buffer& buffer, std::size_t size) {
    auto write = [self = shared_from_this(), &from, &to, &buffer, size] {
      asio::async_write(to, asio::buffer(buffer.data(), size),
                        [self, &from, &to, &buffer](const error_code& error, std::size_t) {
                          if (error) return self->Reset();
                          self->Read(from, to, buffer);
                        });
    };
    if (shared_->mode != LinkMode::kDelay) return write();
    auto timer = std::make_shared<asio::steady_timer>(shared_->io, shared_->delay);
    timer->async_wait([timer, write](const error_code&) { write(); });
  }

  // An unresponsive link also hides the end of a connection by keeping the other one open.
  void OnReadError(Tcp::socket& to) {
    if (IsUnresponsive()) {
      self_reference_ = shared_from_this();
      return;
    }
    error_code ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
    if (++ended_directions_ == 2) Reset();
  }

  std::shared_ptr<FaultProxy::SharedState> shared_;
  Tcp::socket client_;
  Tcp::socket server_;
  Buffer client_buffer_{};
  Buffer server_buffer_{};
  int ended_directions_ = 0;
  bool silent_ = false;
  std::shared_ptr<Link> self_reference_;

 public:
  // Lets a link be destroyed after the end of one of its connections was hidden.
  void ReleaseSelfReference() { self_reference_.reset(); }
};

void Accept(const std::shared_ptr<FaultProxy::SharedState>& shared) {
  shared->acceptor.async_accept([shared](const error_code& error, Tcp::socket socket) {
    if (error) return;
    std::make_shared<Link>(shared, std::move(socket))->Start();
    Accept(shared);
  });
}

void ResetAll(FaultProxy::SharedState& shared) {
  // Resetting a link may destroy it, which modifies `shared.links`.
  std::vector<std::shared_ptr<Link>> links;
  for (Link* link : shared.links) links.push_back(link->shared_from_this());
  for (const auto& link : links) {
    link->Reset();
    link->ReleaseSelfReference();
  }
}

}  // namespace

FaultProxy::FaultProxy(LoopThread& loop, const Endpoint& target) : loop_(loop) {
  loop_.Run([&] {
    shared_ = std::make_shared<SharedState>(loop_.io());
    shared_->target = {asio::ip::make_address(target.address), target.port};
    Tcp::endpoint local(asio::ip::make_address("127.0.0.1"), 0);
    shared_->acceptor.open(local.protocol());
    shared_->acceptor.bind(local);
    shared_->acceptor.listen(1024);
    endpoint_ = {"127.0.0.1", shared_->acceptor.local_endpoint().port()};
    Accept(shared_);
  });
}

FaultProxy::~FaultProxy() {
  loop_.Run([this] {
    error_code ignored;
    shared_->acceptor.close(ignored);
    ResetAll(*shared_);
  });
}

void FaultProxy::SetMode(LinkMode mode, std::chrono::milliseconds delay) {
  loop_.Run([&] {
    // Connections that lost data cannot be continued.
    if (shared_->mode != LinkMode::kPass && shared_->mode != LinkMode::kDelay) ResetAll(*shared_);
    shared_->mode = mode;
    shared_->delay = delay;
  });
}

void FaultProxy::ResetConnections() {
  loop_.Run([this] { ResetAll(*shared_); });
}

void FaultProxy::SilenceConnections() {
  loop_.Run([this] {
    for (Link* link : shared_->links) link->Silence();
  });
}

std::size_t FaultProxy::silenced_blocks() const {
  return loop_.Run([this] { return shared_->silenced_blocks; });
}

}  // namespace damaskroute::standins

#include "standins/fault_proxy.h"

#include <array>
#include <utility>

namespace damaskroute::standins {

using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

class Link;

}  // namespace

struct FaultProxy::Shared {
  explicit Shared(asio::io_context& context) : io(context), acceptor(context) {}

  asio::io_context& io;
  Tcp::acceptor acceptor;
  Tcp::endpoint target;
  LinkMode mode = LinkMode::kPass;
  std::chrono::milliseconds delay{};
  std::unordered_set<Link*> links;
};

namespace {

// One client connection and its connection to the server.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::shared_ptr<FaultProxy::Shared> shared, Tcp::socket client)
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
      self->Read(self->client_, self->server_, self->up_);
      self->Read(self->server_, self->client_, self->down_);
    });
  }

  void Reset() {
    error_code ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    server_.set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  bool Drops(const Tcp::socket& to) const {
    if (shared_->mode == LinkMode::kSilent) return true;
    bool to_server = &to == &server_;
    return shared_->mode == (to_server ? LinkMode::kDropToServer : LinkMode::kDropFromServer);
  }

  void Read(Tcp::socket& from, Tcp::socket& to, Buffer& buffer) {
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                                   const error_code& error, std::size_t size) {
      if (error) return self->OnEnd(to);
      if (self->Drops(to)) return self->Read(from, to, buffer);
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

  // A silent link hides the end of a connection as well.
  void OnEnd(Tcp::socket& to) {
    if (shared_->mode == LinkMode::kSilent) {
      kept_ = shared_from_this();
      return;
    }
    error_code ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
    if (++ended_ == 2) Reset();
  }

  std::shared_ptr<FaultProxy::Shared> shared_;
  Tcp::socket client_;
  Tcp::socket server_;
  Buffer up_{};
  Buffer down_{};
  int ended_ = 0;
  std::shared_ptr<Link> kept_;

 public:
  /// Lets go of a link whose end was hidden.
  void Release() { kept_.reset(); }
};

void Accept(const std::shared_ptr<FaultProxy::Shared>& shared) {
  shared->acceptor.async_accept([shared](const error_code& error, Tcp::socket socket) {
    if (error) return;
    std::make_shared<Link>(shared, std::move(socket))->Start();
    Accept(shared);
  });
}

void ResetAll(FaultProxy::Shared& shared) {
  // Resetting a link may destroy it.
  std::vector<std::shared_ptr<Link>> links;
  for (Link* link : shared.links) links.push_back(link->shared_from_this());
  for (const auto& link : links) {
    link->Reset();
    link->Release();
  }
}

}  // namespace

FaultProxy::FaultProxy(Loop& loop, const Endpoint& target) : loop_(loop) {
  loop_.Run([&] {
    shared_ = std::make_shared<Shared>(loop_.io());
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
    // What a silent link has swallowed cannot be mended.
    if (shared_->mode != LinkMode::kPass && shared_->mode != LinkMode::kDelay) ResetAll(*shared_);
    shared_->mode = mode;
    shared_->delay = delay;
  });
}

void FaultProxy::ResetConnections() {
  loop_.Run([this] { ResetAll(*shared_); });
}

}  // namespace damaskroute::standins

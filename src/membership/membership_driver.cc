#include "damaskroute/membership/membership_driver.h"

#include <utility>

#include "fmt/format.h"

namespace damaskroute {
namespace {

// Maximum number of datagrams that are read before the loop runs other handlers.
constexpr int kMaxBatch = 64;

template <typename Handler, typename Event>
void Notify(const Handler& handler, const Event& event) {
  if (handler) handler(event);
}

}  // namespace

MembershipDriver::MembershipDriver(asio::io_context& loop, Member self, const PeerKeys& keys,
                                   SwimOptions options, std::uint64_t seed,
                                   MembershipHandlers handlers)
    : state_(std::move(self), options, seed),
      codec_(keys),
      // Dead members and members that left keep their windows until they are forgotten.
      window_(2 * options.max_members),
      handlers_(std::move(handlers)),
      socket_(loop),
      timer_(loop) {}

absl::Status MembershipDriver::Open() {
  const Endpoint& local = state_.self().endpoint;
  boost::system::error_code error;
  asio::ip::udp::endpoint address(asio::ip::make_address(local.address, error), local.port);
  if (!error) socket_.open(address.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(address, error);
  if (error) {
    return absl::UnavailableError(fmt::format("cannot open UDP socket for peers on {}: {}",
                                              FormatEndpoint(local), error.message()));
  }
  AwaitDatagrams();
  return absl::OkStatus();
}

void MembershipDriver::Start(std::vector<Endpoint> seeds) {
  Execute(state_.Start(SteadyClock().Now(), std::move(seeds)));
}

void MembershipDriver::Leave() { Execute(state_.Leave(SteadyClock().Now())); }

MembersData MembershipDriver::OnMembersPull(const MembersPull& pull) {
  Execute(state_.OnMembersPull(SteadyClock().Now(), pull.sender));
  return {state_.FullState()};
}

void MembershipDriver::OnMembersData(const MembersData& data) {
  Execute(state_.OnMembersData(SteadyClock().Now(), data.members));
}

void MembershipDriver::Execute(const SwimActions& actions) {
  for (const SwimAction& action : actions) {
    if (const auto* send = std::get_if<SendDatagram>(&action)) {
      SendTo(send->to, send->datagram);
    } else if (const auto* pull = std::get_if<PullMembers>(&action)) {
      if (handlers_.send_pull) handlers_.send_pull(pull->from, MembersPull{state_.self()});
    } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
      Notify(handlers_.on_changed, *changed);
    } else if (const auto* forgotten = std::get_if<MemberForgotten>(&action)) {
      window_.Forget(forgotten->node);
      Notify(handlers_.on_forgotten, *forgotten);
    } else if (const auto* revisions = std::get_if<RevisionsSeen>(&action)) {
      Notify(handlers_.on_revisions, *revisions);
    } else if (const auto* superseded = std::get_if<SelfSuperseded>(&action)) {
      Notify(handlers_.on_superseded, *superseded);
    }
  }
  ArmTimer();
}

void MembershipDriver::SendTo(const Endpoint& to, const PeerDatagram& datagram) {
  if (handlers_.drop_datagram && handlers_.drop_datagram()) return;
  if (handlers_.is_partitioned && handlers_.is_partitioned(to)) return;
  absl::StatusOr<std::string> bytes = codec_.Encode(datagram);
  boost::system::error_code error;
  auto address = asio::ip::make_address(to.address, error);
  if (bytes.ok() && !error) socket_.send_to(asio::buffer(*bytes), {address, to.port}, 0, error);
  if (!bytes.ok() || error) {
    ++counters_.send_failures;
    return;
  }
  ++counters_.datagrams_sent;
  counters_.bytes_sent += bytes->size();
}

void MembershipDriver::AwaitDatagrams() {
  socket_.async_wait(asio::socket_base::wait_read,
                     [this, alive = std::weak_ptr(alive_)](auto error) {
                       if (error || alive.expired()) return;
                       ReceiveAll();
                       // A callback may have destroyed the driver.
                       if (!alive.expired()) AwaitDatagrams();
                     });
}

void MembershipDriver::ReceiveAll() {
  std::weak_ptr<char> alive = alive_;
  for (int i = 0; i < kMaxBatch && !alive.expired(); ++i) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error == asio::error::would_block) return;
    // Other errors report that the host of a peer rejected a datagram of this socket.
    if (!error) Receive(std::string_view(buffer_.data(), size));
  }
}

void MembershipDriver::Receive(std::string_view bytes) {
  ++counters_.datagrams_received;
  counters_.bytes_received += bytes.size();
  absl::StatusOr<PeerDatagram> datagram = codec_.Decode(bytes);
  if (!datagram.ok()) {
    ++(absl::IsPermissionDenied(datagram.status()) ? counters_.forged : counters_.malformed);
    return;
  }
  if (handlers_.is_partitioned && handlers_.is_partitioned(datagram->sender.endpoint)) return;
  if (!window_.Accept(datagram->sender.node, datagram->sender.incarnation, datagram->sequence)) {
    ++counters_.replayed;
    return;
  }
  Execute(state_.OnDatagram(SteadyClock().Now(), *datagram));
}

void MembershipDriver::ArmTimer() {
  TimePoint next = state_.NextTimer();
  if (next == armed_for_) return;
  armed_for_ = next;
  if (next == TimePoint::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(next);
  timer_.async_wait([this, alive = std::weak_ptr(alive_)](auto error) {
    if (error || alive.expired()) return;
    armed_for_ = TimePoint::max();
    Execute(state_.OnTimer(SteadyClock().Now()));
  });
}

}  // namespace damaskroute

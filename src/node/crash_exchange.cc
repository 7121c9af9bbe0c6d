#include "damaskroute/node/crash_exchange.h"

#include <algorithm>
#include <utility>

#include "damaskroute/core/error_text.h"
#include "damaskroute/log/log_line.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

// Time limit of one exchange. A peer that is slower hears of the records from others.
constexpr std::chrono::milliseconds kExchangeTimeout{500};

constexpr char kTarget[] = "/crash-page";
constexpr char kContentType[] = "application/octet-stream";

TimePoint Now() { return SteadyClock().Now(); }

}  // namespace

CrashExchange::CrashExchange(asio::io_context& loop, CrashGuard& guard, PeerClients& clients,
                             std::uint64_t seed)
    : guard_(guard), clients_(clients), gossip_(seed), timer_(loop) {}

void CrashExchange::SetPeers(std::vector<Peer> peers) {
  gossip_.SetPeers(std::move(peers), Now());
  Update();
}

void CrashExchange::Update() {
  on_change_();
  TimePoint now = Now();
  auto step = gossip_.Next(guard_.has_changes(), guard_.HasSuspects(now), now);
  if (!step.push_to.empty()) {
    CrashPage page{guard_.TakeChanges(CrashPage::kMaxRecords)};
    for (const Peer& peer : step.push_to) Send(peer, page);
  }
  for (const Peer& peer : step.sync_with) {
    Send(peer, {guard_.Records(CrashPage::kMaxRecords, now), /*all=*/true});
  }
  timer_.cancel();
  if (step.next == TimePoint::max()) return;
  timer_.expires_at(step.next);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Update();
  });
}

void CrashExchange::Send(const Peer& peer, const CrashPage& page) {
  std::string body = EncodeCrashPage(page, Now());
  ExchangeRequest request;
  request.time_left = kExchangeTimeout;
  request.bytes = fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\n{}: 1\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
      kTarget, FormatEndpoint(peer.endpoint), kCrashPageHeader, kContentType, body.size(), body);
  clients_.ClientFor(peer.endpoint)
      ->Start(std::move(request),
              [this, sync = page.all](const ExchangeResult& result) { OnResponse(result, sync); });
}

void CrashExchange::OnResponse(const ExchangeResult& result, bool sync) {
  if (result.end != ExchangeEnd::kAnswered || result.status != 200) return;
  auto page = DecodeCrashPage(result.body, Now());
  if (!page.ok()) return;
  if (sync) gossip_.OnSynced();
  Merge(*page);
  Update();
}

void CrashExchange::Handle(const HttpRequest& request, const HttpResponder& respond) {
  HttpResponse response;
  TimePoint now = Now();
  auto page = DecodeCrashPage(request.body, now);
  if (!page.ok()) {
    LogLine(LogLevel::kWarning, "crash records of another node not usable")
        .Field("error", ErrorText(page.status()));
    response.status = 400;
    return respond(std::move(response));
  }
  CrashPage reply{Merge(*page)};
  if (page->all && reply.records.size() < CrashPage::kMaxRecords) {
    for (CrashRecord& record : guard_.Records(CrashPage::kMaxRecords, now)) {
      bool stated =
          std::any_of(page->records.begin(), page->records.end(),
                      [&](const CrashRecord& known) { return known.request == record.request; });
      if (!stated) reply.records.push_back(std::move(record));
    }
    reply.records.resize(std::min(reply.records.size(), CrashPage::kMaxRecords));
  }
  response.content_type = kContentType;
  response.body = EncodeCrashPage(reply, now);
  respond(std::move(response));
  Update();
}

// Returns what this node knows beyond the page about the requests in it.
std::vector<CrashRecord> CrashExchange::Merge(const CrashPage& page) {
  TimePoint now = Now();
  std::vector<CrashRecord> known;
  for (const CrashRecord& record : page.records) {
    if (auto more = guard_.Merge(record, now)) known.push_back(*std::move(more));
  }
  return known;
}

}  // namespace damaskroute

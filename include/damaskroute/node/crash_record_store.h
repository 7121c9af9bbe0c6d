#ifndef DAMASKROUTE_NODE_CRASH_RECORD_STORE_H_
#define DAMASKROUTE_NODE_CRASH_RECORD_STORE_H_

#include <charconv>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "damaskroute/core/asio.h"
#include "damaskroute/core/error_text.h"
#include "damaskroute/crashguard/crash_archive.h"
#include "damaskroute/crashguard/crash_guard.h"
#include "damaskroute/crashguard/crash_page.h"
#include "damaskroute/http/backend_client.h"
#include "damaskroute/log/log_line.h"
#include "damaskroute/store/lease.h"
#include "fmt/format.h"

namespace damaskroute {

/// Wire format of a store with leases, for crash records. `request` names the request and `page` is
/// an encoded `CrashPage`; otherwise as `LeaseCodec`.
template <typename T>
concept CrashRecordCodec = requires(const T& codec, const Endpoint& store, std::uint64_t lease,
                                    std::chrono::milliseconds ttl, const std::string& text,
                                    int status) {
  { codec.RenderOpenLease(store, ttl) } -> std::same_as<std::string>;
  { codec.RenderWriteCrashRecord(store, text, text, lease) } -> std::same_as<std::string>;
  { codec.ParseLease(status, text) } -> std::same_as<absl::StatusOr<Lease>>;
  { codec.ParseAck(status) } -> std::same_as<absl::Status>;
};

/// Keeps the records of blocked requests in the store, as `CrashArchive` decides, and adds those
/// that it holds to the node's crash guard. Each has a lease of its own, which ends with the time
/// for which a request is blocked. Used on its event loop only.
template <CrashRecordCodec Codec>
class CrashRecordStore {
 public:
  /// `client` is a client of the store on the same loop; it and `guard` must outlive this object.
  CrashRecordStore(asio::io_context& loop, BackendClient& client, const Endpoint& store,
                   Codec codec, CrashGuard& guard, std::uint64_t seed)
      : client_(client),
        store_(store),
        codec_(std::move(codec)),
        guard_(guard),
        archive_(seed),
        timer_(loop) {}

  /// Writes what is due. Called when requests may have been blocked.
  void Update() {
    if (calling_) return;
    auto step = archive_.Next(guard_.BlockedRequests(CrashArchive::kMaxRecords, Now()), Now());
    if (step.write) return OpenLease(*std::move(step.write));
    timer_.cancel();
    if (step.next == TimePoint::max()) return;
    timer_.expires_at(step.next);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Update();
    });
  }

  /// The store holds a record, which may be that of another node. InvalidArgument if it is none.
  absl::Status OnStored(const std::string& request, const std::string& page) {
    auto id = ParseRequest(request);
    auto decoded = DecodeCrashPage(page, Now());
    if (!decoded.ok()) return decoded.status();
    if (!id || decoded->records.size() != 1 || decoded->records.front().request != *id) {
      return absl::InvalidArgumentError("not the record of the request that the key names");
    }
    archive_.OnStored(*id);
    guard_.Merge(decoded->records.front(), Now());
    return absl::OkStatus();
  }

 private:
  static constexpr int kHexadecimal = 16;

  // Not urgent, so a slow store gets the time to respond.
  static constexpr std::chrono::milliseconds kCallTimeout{2000};

  static TimePoint Now() { return SteadyClock().Now(); }

  static std::optional<std::uint64_t> ParseRequest(const std::string& text) {
    std::uint64_t request = 0;
    const char* end = text.data() + text.size();
    auto [parsed, error] = std::from_chars(text.data(), end, request, kHexadecimal);
    if (error != std::errc() || parsed != end) return std::nullopt;
    return request;
  }

  void OpenLease(CrashRecord record) {
    Call(codec_.RenderOpenLease(store_, CrashGuardSettings().suspicion_period),
         [this, record = std::move(record)](int status, const std::string& body) {
           auto lease = codec_.ParseLease(status, body);
           if (!lease.ok()) return OnFailure(lease.status());
           Write(record, lease->id);
         });
  }

  void Write(const CrashRecord& record, std::uint64_t lease) {
    std::string request = fmt::format("{:016x}", record.request);
    std::string page = EncodeCrashPage({.records = {record}}, Now());
    Call(codec_.RenderWriteCrashRecord(store_, request, page, lease),
         [this, id = record.request, request](int status, const std::string&) {
           absl::Status written = codec_.ParseAck(status);
           if (!written.ok()) return OnFailure(written);
           LogLine(LogLevel::kInfo, "crash record written").Field("request", request);
           archive_.OnStored(id);
           Update();
         });
  }

  // `done` gets the status of the response, 0 without one.
  template <typename Done>
  void Call(std::string bytes, Done done) {
    ExchangeRequest request;
    request.bytes = std::move(bytes);
    request.time_left = kCallTimeout;
    calling_ = true;
    client_.Start(std::move(request), [this, done = std::move(done)](const ExchangeResult& result) {
      calling_ = false;
      done(result.end == ExchangeEnd::kAnswered ? result.status : 0, result.body);
    });
  }

  void OnFailure(const absl::Status& error) {
    LogLine(LogLevel::kWarning, "crash record not written").Field("error", ErrorText(error));
    archive_.OnFailure(Now());
    Update();
  }

  BackendClient& client_;
  const Endpoint store_;
  const Codec codec_;
  CrashGuard& guard_;
  CrashArchive archive_;
  asio::steady_timer timer_;
  bool calling_ = false;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_CRASH_RECORD_STORE_H_

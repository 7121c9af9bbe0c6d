#include "standins/platform_core.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "damaskroute/core/json_member.h"
#include "damaskroute/store/config_store.h"
#include "damaskroute/store/vm_list.h"
#include "fmt/format.h"
#include "standins/control_message.h"
#include "standins/request_target.h"

namespace damaskroute::standins {
namespace {

using boost::beast::http::verb;

constexpr std::string_view kJsonType = "Content-Type: application/json\r\n";
constexpr std::string_view kKeyPrefix = "/kv/";
constexpr std::string_view kLeasePrefix = "/leases/";
// Upper bound of the timeout of a watch; longer than any test runs.
constexpr std::uint64_t kMaxWatchTimeoutMs = 600'000;

// Converts a JSON value to the text form that settings files use for it.
std::string ScalarText(const rapidjson::Value& value) {
  if (value.IsString()) return value.GetString();
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

std::optional<std::string> ParseKey(const HttpRequest& request) {
  auto key = PercentDecode(TargetPath(Target(request)).substr(kKeyPrefix.size()));
  if (key && key->empty()) return std::nullopt;
  return key;
}

}  // namespace

PlatformCore::PlatformCore(asio::io_context& io, const Endpoint& endpoint,
                           const PlatformOptions& options)
    : io_(io), endpoint_(endpoint), options_(options), random_(1), expiry_timer_(io) {}

absl::Status PlatformCore::Start() {
  server_ = std::make_shared<HttpServer>(
      io_, [weak = weak_from_this()](const ConnectionPtr& connection, HttpRequest&& request) {
        if (auto self = weak.lock()) self->Handle(connection, std::move(request));
      });
  absl::Status status = server_->Listen(endpoint_);
  if (status.ok()) endpoint_.port = server_->port();
  return status;
}

void PlatformCore::Close() {
  for (const WatcherPtr& watcher : watchers_) watcher->timer.cancel();
  watchers_.clear();
  expiry_timer_.cancel();
  if (server_) server_->Close();
}

PlatformCore::CallKind PlatformCore::ClassifyRequest(const HttpRequest& request) {
  std::string_view path = TargetPath(Target(request));
  if (path.starts_with(kKeyPrefix)) {
    if (request.method() == verb::put) return CallKind::kWrite;
    if (request.method() != verb::get) return CallKind::kUnknown;
    return NumericQueryParameter(Target(request), "watch") ? CallKind::kWatch : CallKind::kRead;
  }
  if (path == "/leases" || path.starts_with(kLeasePrefix)) return CallKind::kLease;
  if (path == "/vms") return CallKind::kVmList;
  return path.starts_with("/control") ? CallKind::kControl : CallKind::kUnknown;
}

void PlatformCore::Handle(const ConnectionPtr& connection, HttpRequest&& request) {
  CallKind kind = ClassifyRequest(request);
  if (kind == CallKind::kControl) {
    HandleControl(connection, request);
    return;
  }
  CountCall(kind);
  if (options_.delay.count() == 0) {
    ProcessRequest(connection, request, kind);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, options_.delay);
  timer->async_wait([self = shared_from_this(), timer, connection, kind,
                     held = std::move(request)](const boost::system::error_code& error) {
    if (!error) self->ProcessRequest(connection, held, kind);
  });
}

void PlatformCore::CountCall(CallKind kind) {
  if (kind == CallKind::kRead) ++stats_.reads;
  if (kind == CallKind::kWrite) ++stats_.writes;
  if (kind == CallKind::kWatch) ++stats_.watches;
  if (kind == CallKind::kLease) ++stats_.leases;
  if (kind == CallKind::kVmList) ++stats_.vm_lists;
}

bool PlatformCore::ExceedsRateLimit(CallKind kind) {
  bool is_write = kind == CallKind::kWrite || kind == CallKind::kLease;
  std::uint64_t limit = is_write ? options_.writes_per_second : options_.reads_per_second;
  if (limit == 0) return false;
  RateWindow& window = is_write ? write_window_ : read_window_;
  TimePoint now = SteadyClock().Now();
  if (now - window.start >= std::chrono::seconds(1)) window = {now, 0};
  return ++window.calls > limit;
}

void PlatformCore::ProcessRequest(const ConnectionPtr& connection, const HttpRequest& request,
                                  CallKind kind) {
  if (options_.silent || options_.refuse) {
    ++stats_.outage;
    if (!options_.silent) connection->Respond(503, "", "");
    return;
  }
  if (ExceedsRateLimit(kind)) {
    ++stats_.rate_limited;
    connection->Respond(429, "", "");
    return;
  }
  // Keys bound to an expired lease must not be visible, even if the expiry timer is late.
  ExpireLeases();
  switch (kind) {
    case CallKind::kRead:
      return Read(connection, request);
    case CallKind::kWrite:
      return Write(connection, request);
    case CallKind::kWatch:
      return Watch(connection, request);
    case CallKind::kLease:
      return HandleLease(connection, request);
    case CallKind::kVmList:
      return connection->Respond(200, kJsonType, vms_json_);
    default:
      return connection->Respond(404, "", "");
  }
}

void PlatformCore::RespondValue(const ConnectionPtr& connection, const StoredValue* stored) {
  if (stored == nullptr) {
    connection->Respond(404, "", "");
    return;
  }
  connection->Respond(200, fmt::format("Version: {}\r\n", stored->version), stored->value);
}

void PlatformCore::Read(const ConnectionPtr& connection, const HttpRequest& request) {
  auto key = ParseKey(request);
  if (!key) return connection->Respond(400, "", "malformed key");
  RespondValue(connection, table_.Get(*key));
}

void PlatformCore::Write(const ConnectionPtr& connection, const HttpRequest& request) {
  if (options_.reset_next > 0) {
    --options_.reset_next;
    connection->Reset();
    return;
  }
  auto key = ParseKey(request);
  auto if_version = ParseDecimal(Header(request, "If-Version"));
  std::string_view lease_text = Header(request, "Lease");
  auto lease = lease_text.empty() ? std::uint64_t{0} : ParseDecimal(lease_text);
  if (!key || !if_version || !lease) return connection->Respond(400, "", "malformed write");
  if (request.body().size() > kMaxStoredValueSize) return connection->Respond(413, "", "");
  auto version = table_.Put(*key, *if_version, request.body(), *lease);
  if (absl::IsNotFound(version.status())) return connection->Respond(404, "", "lease ended");
  if (!version.ok()) {
    const StoredValue* current = table_.Get(*key);
    return AnswerWrite(connection, 412, current == nullptr ? 0 : current->version);
  }
  ++stats_.written;
  AnswerWrite(connection, 200, *version);
  NotifyWatchers(*key);
}

void PlatformCore::AnswerWrite(const ConnectionPtr& connection, int status, std::uint64_t version) {
  if (options_.silence_next > 0) {
    --options_.silence_next;
    return;
  }
  bool drop_response =
      options_.lose_probability > 0 && random_.NextDouble() < options_.lose_probability;
  if (!drop_response && options_.lose_next > 0) {
    --options_.lose_next;
    drop_response = true;
  }
  if (drop_response) return connection->Reset();
  connection->Respond(status, fmt::format("Version: {}\r\n", version), "");
}

void PlatformCore::Watch(const ConnectionPtr& connection, const HttpRequest& request) {
  auto key = ParseKey(request);
  auto after = NumericQueryParameter(Target(request), "watch");
  auto timeout_ms = NumericQueryParameter(Target(request), "timeout_ms");
  if (!key || !after || !timeout_ms) return connection->Respond(400, "", "malformed watch");
  const StoredValue* stored = table_.Get(*key);
  bool removed = stored == nullptr && *after > 0;
  if (removed || (stored != nullptr && stored->version > *after)) {
    return RespondValue(connection, stored);
  }
  auto watcher = std::make_shared<Watcher>(io_, connection, *std::move(key), *after);
  watchers_.push_back(watcher);
  watcher->timer.expires_after(
      std::chrono::milliseconds(std::min(*timeout_ms, kMaxWatchTimeoutMs)));
  watcher->timer.async_wait(
      [self = shared_from_this(), watcher](const boost::system::error_code& error) {
        if (error) return;
        self->RemoveWatcher(watcher);
        watcher->connection->Respond(204, "", "");
      });
  connection->set_on_peer_closed([weak = weak_from_this(), watcher] {
    if (auto self = weak.lock()) self->RemoveWatcher(watcher);
  });
}

void PlatformCore::RemoveWatcher(const WatcherPtr& watcher) {
  watcher->timer.cancel();
  watchers_.remove(watcher);
}

void PlatformCore::NotifyWatchers(const std::string& key) {
  const StoredValue* stored = table_.Get(key);
  std::vector<WatcherPtr> to_notify;
  for (const WatcherPtr& watcher : watchers_) {
    bool newer = stored == nullptr ? watcher->after > 0 : stored->version > watcher->after;
    if (watcher->key == key && newer) to_notify.push_back(watcher);
  }
  for (const WatcherPtr& watcher : to_notify) {
    RemoveWatcher(watcher);
    RespondValue(watcher->connection, stored);
  }
}

void PlatformCore::HandleLease(const ConnectionPtr& connection, const HttpRequest& request) {
  std::string_view path = TargetPath(Target(request));
  bool is_post = request.method() == verb::post;
  if (is_post && path == "/leases") {
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(request.body().data(), request.body().size());
    const rapidjson::Value* ttl_ms =
        document.HasParseError() ? nullptr : FindJsonMember(document, "ttl_ms");
    if (ttl_ms == nullptr || !ttl_ms->IsUint()) {
      return connection->Respond(400, "", "expected {\"ttl_ms\":N}");
    }
    std::chrono::milliseconds ttl(ttl_ms->GetUint());
    std::uint64_t lease = table_.GrantLease(SteadyClock().Now(), ttl);
    ScheduleExpiry();
    return connection->Respond(200, kJsonType, fmt::format(R"({{"lease":{}}})", lease));
  }
  if (!path.starts_with(kLeasePrefix)) return connection->Respond(404, "", "");
  path.remove_prefix(kLeasePrefix.size());
  bool renew = is_post && path.ends_with("/renew");
  if (renew) path.remove_suffix(std::string_view("/renew").size());
  auto lease = ParseDecimal(path);
  if (!lease || (!renew && request.method() != verb::delete_)) {
    return connection->Respond(400, "", "malformed lease call");
  }
  bool exists = table_.RenewLease(*lease, SteadyClock().Now());
  if (!renew) {
    for (const std::string& key : table_.RevokeLease(*lease)) NotifyWatchers(key);
  }
  ScheduleExpiry();
  connection->Respond(exists ? 200 : 404, "", "");
}

void PlatformCore::ScheduleExpiry() {
  auto next = table_.NextExpiry();
  if (!next) return;
  expiry_timer_.expires_at(*next);
  expiry_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    auto self = weak.lock();
    if (error || !self) return;
    self->ExpireLeases();
    self->ScheduleExpiry();
  });
}

void PlatformCore::ExpireLeases() {
  for (const std::string& key : table_.Expire(SteadyClock().Now())) NotifyWatchers(key);
}

void PlatformCore::HandleControl(const ConnectionPtr& connection, const HttpRequest& request) {
  std::string_view path = TargetPath(Target(request));
  if (request.method() == verb::post && path == "/control") {
    absl::Status status = Control(request.body());
    connection->Respond(status.ok() ? 200 : 400, "", std::string{status.message()});
  } else if (request.method() == verb::get && path == "/control/stats") {
    connection->Respond(200, kJsonType, StatsJson());
  } else {
    connection->Respond(404, "", "");
  }
}

absl::Status PlatformCore::Control(std::string_view json) {
  absl::Status status =
      ApplyControlMessage(json, [this](std::string_view name, const rapidjson::Value& value) {
        return ApplyControlMember(name, value);
      });
  if (!status.ok()) return status;
  if (options_.refuse || options_.silent) AbortWatches();
  return absl::OkStatus();
}

absl::Status PlatformCore::ApplyControlMember(std::string_view name,
                                              const rapidjson::Value& value) {
  if (name == "backup") {
    backup_ = table_;
  } else if (name == "restore") {
    table_ = backup_;
  } else if (name == "vms") {
    std::string list = fmt::format(R"({{"vms":{}}})", ScalarText(value));
    absl::Status status = ParseVmList(list).status();
    if (status.ok()) PublishVmList(std::move(list));
    return status;
  } else {
    return SetPlatformOption(options_, name, ScalarText(value));
  }
  return absl::OkStatus();
}

void PlatformCore::AbortWatches() {
  while (!watchers_.empty()) {
    WatcherPtr watcher = watchers_.front();
    RemoveWatcher(watcher);
    if (!options_.silent) watcher->connection->Respond(503, "", "");
  }
}

void PlatformCore::PublishVmList(std::string json) {
  if (options_.vm_lag.count() == 0) {
    vms_json_ = std::move(json);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, options_.vm_lag);
  timer->async_wait([weak = weak_from_this(), timer,
                     list = std::move(json)](const boost::system::error_code& error) {
    if (auto self = weak.lock(); self && !error) self->vms_json_ = list;
  });
}

PlatformStats PlatformCore::Stats() const {
  PlatformStats stats = stats_;
  stats.pending_watches = watchers_.size();
  stats.connections = server_ ? server_->connections() : 0;
  return stats;
}

std::string PlatformCore::StatsJson() const {
  PlatformStats s = Stats();
  return fmt::format(
      R"({{"reads":{},"writes":{},"watches":{},"leases":{},"vm_lists":{},"written":{},)"
      R"("rate_limited":{},"outage":{},"pending_watches":{},"connections":{}}})",
      s.reads, s.writes, s.watches, s.leases, s.vm_lists, s.written, s.rate_limited, s.outage,
      s.pending_watches, s.connections);
}

}  // namespace damaskroute::standins

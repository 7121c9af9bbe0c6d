#include "damaskroute/node/forward_server.h"

#include <algorithm>
#include <utility>

#include "damaskroute/log/log_line.h"
#include "damaskroute/metrics/exposition.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Fraction of the shortest time limit during which changes may be batched in the store. The rest
// covers a slow store, a lost call and its retry.
constexpr double kBatchDelayFraction = 0.4;

// Time reserved for the call that brings a node up to date after a broken watch was detected, and
// the largest fraction of the time limit that is reserved for it.
constexpr milliseconds kRecoveryTime{500};
constexpr double kMaxRecoveryFraction = 0.25;

// Within a shorter limit, an unresponsive store cannot be told from a slow one, which answers a
// watch in about 240 ms.
constexpr milliseconds kMinContactBound{1000};

// The clocks of two machines and the timers of the store may differ by this much in total.
constexpr milliseconds kClockMargin{100};

// Time between the age at which the feed aims and the greatest age at which requests run. It covers
// requests that wait for the event loop.
constexpr milliseconds kAgeMargin{100};

// A slow store answers in about 240 ms, of which two calls are reserved.
constexpr milliseconds kSlowCall{500};

// The feed does not aim at a lower age, whatever the limit is, as this would need a call to the
// store several times a second.
constexpr milliseconds kMinConfigurationAge{500};

// Largest fraction of the configuration's maximum age that is reserved for one kind of call.
constexpr double kMaxReservedFraction = 0.25;

// A slow store needs about a second to return all items.
constexpr milliseconds kMinReadTimeout{1000};

// Fraction of the time for recovering from unanswered calls that the pause before the next call may
// take.
constexpr double kBackoffFraction = 0.25;

template <typename Rep, typename Period>
milliseconds Scaled(std::chrono::duration<Rep, Period> duration, double factor) {
  return std::chrono::duration_cast<milliseconds>(duration * factor);
}

// The balancer checks readiness every second and removes a node after two failed checks.
constexpr milliseconds kBalancerRemovalDelay{3000};

// Active requests are aborted and answered this long before the process is killed.
constexpr milliseconds kKillMargin{500};

constexpr milliseconds kActiveRequestPollInterval{20};

// Many servers often become unreachable at the same time, and one check of all shards is
// sufficient.
constexpr milliseconds kReachabilityCheckInterval{100};

// Time for the last responses to reach their callers.
constexpr milliseconds kLastResponseTime{100};

// Fraction that a node uses of its share of the constant limit on extra calls. The rest is reserved
// for nodes that have joined and are not counted yet. A process starts with the lower value, since
// its predecessor may have used the higher one in the same budget window.
constexpr double kSlackFraction = 0.7;
constexpr double kFirstWindowSlackFraction = 0.25;

// Fraction of the ratio that a node uses, since others count extra calls by their own clocks.
constexpr double kRatioFraction = 0.95;

// Served on the metrics port; read by `damaskctl beliefs`.
constexpr char kStatePath[] = "/v1/beliefs";

HttpServerOptions CallerOptions(const Endpoint& listen, std::shared_ptr<ClientMemory> memory,
                                std::size_t max_connections) {
  HttpServerOptions options;
  options.listen = listen;
  options.memory = std::move(memory);
  options.max_connections = max_connections;
  options.pass_headers = true;
  options.watch_callers = true;
  return options;
}

// A request of another node has this many bytes of headers more than the caller's.
constexpr std::size_t kPeerHeaderBytes = 256;

// It has at most this many fields more.
constexpr std::size_t kPeerHeaderFields = 16;

// Largest `CrashPage`, whatever the limit of callers' bodies is.
constexpr std::size_t kMaxCrashPageBytes = std::size_t{64} << 10;

// Nodes close idle connections to each other earlier than the server does, so that no request meets
// the end of its connection.
constexpr char kPeerKeepAlive[] = "timeout=20";

HttpServerOptions InternalServerOptions(const Endpoint& listen,
                                        std::shared_ptr<ClientMemory> memory,
                                        std::size_t max_connections) {
  HttpServerOptions options;
  options.listen = listen;
  options.memory = std::move(memory);
  options.max_connections = max_connections;
  options.limits.max_body_bytes = 1024;
  options.essential = true;  // Operators need readiness and metrics most while the node is full.
  return options;
}

}  // namespace

namespace {

void LimitConfigurationAge(milliseconds revocation_bound, FeedOptions& options) {
  options.max_configuration_age =
      std::max(revocation_bound - kClockMargin - kAgeMargin, kMinConfigurationAge);
  milliseconds longest = Scaled(options.max_configuration_age, kMaxReservedFraction);
  options.slow_call = std::min(kSlowCall, longest);
  options.lost_call = std::min(options.watch_slack + options.initial_backoff, longest);
}

// Absent without a limit.
std::optional<milliseconds> MaxConfigurationAge(const ForwardNodeSettings& settings) {
  if (!settings.revocation_bound) return std::nullopt;
  return *settings.revocation_bound - kClockMargin;
}

}  // namespace

FeedOptions MakeFeedOptions(const ForwardNodeSettings& settings) {
  FeedOptions options;
  auto bound = std::min({settings.config_bound, settings.drain_bound, settings.evacuate_bound});
  options.batch_delay = Scaled(bound, kBatchDelayFraction);
  milliseconds contact_bound = std::max(settings.contact_bound, kMinContactBound);
  milliseconds recovery_time = std::min(kRecoveryTime, Scaled(contact_bound, kMaxRecoveryFraction));
  // An unanswered call and the pause after it must end within this time.
  milliseconds limit = contact_bound - recovery_time;
  options.max_backoff = std::min(options.max_backoff, Scaled(limit, kBackoffFraction));
  options.max_watch_slack = std::min(options.max_watch_slack, limit - options.max_backoff);
  options.read_timeout =
      std::max(std::min(options.read_timeout, limit - options.max_backoff), kMinReadTimeout);
  options.watch_slack = std::min(options.watch_slack, limit / 2);
  options.watch_wait = limit - options.watch_slack;
  options.follow_wait = std::min(options.follow_wait, limit / 2);
  options.follow_slack = std::min(options.follow_slack, limit / 4);
  // Data from a followed node must be recent enough to leave time for calls to the store within the
  // limit.
  milliseconds longest = bound - recovery_time;
  options.max_relay_age = std::min(limit, longest);
  if (settings.revocation_bound) LimitConfigurationAge(*settings.revocation_bound, options);
  return options;
}

// A node sees a change after the pause that collects changes and one call to a store that takes 240
// ms.
RolloutOptions MakeRolloutOptions(const ForwardNodeSettings& settings, const FeedOptions& feed) {
  RolloutBounds bounds = settings.rollout.value_or(RolloutBounds());
  RolloutOptions options;
  options.canary_share = bounds.canary_share;
  options.canary_slack = bounds.canary_slack;
  options.notice_delay = feed.batch_delay + milliseconds(300);
  return options;
}

ForwardServer::ForwardServer(asio::io_context& loop, const ForwardNodeSettings& settings,
                             const ForwardProtocol& protocol, std::uint64_t seed)
    : settings_(settings),
      descriptors_(DivideDescriptors(settings.max_descriptors)),
      client_memory_(std::make_shared<ClientMemory>(ClientMemoryLimit(settings.memory_bytes))),
      service_(loop,
               {.backends = {.local_node = settings.node,
                             .local_zone = settings.zone,
                             .cold_overshoot = settings.cold_overshoot,
                             .cold_slack = settings.cold_slack,
                             .entry_bound = settings.drain_bound},
                .seed = seed,
                .cpu_quota = settings.cpu_quota,
                .max_held_bytes = ResponseMemoryLimit(settings.memory_bytes),
                .max_server_connections = descriptors_.servers,
                .max_peer_connections = descriptors_.peers,
                .max_configuration_age = MaxConfigurationAge(settings)},
               protocol),
      callers_({&loop}, CallerOptions(settings.callers, client_memory_, descriptors_.callers),
               [this](HttpRequest request, HttpResponder respond) {
                 HandleCaller(std::move(request), std::move(respond));
               }),
      ready_({&loop}, InternalServerOptions(settings.ready, client_memory_, descriptors_.readiness),
             [this](const HttpRequest& request, const HttpResponder& respond) {
               HandleReady(request, respond);
             }),
      window_timer_(loop),
      stop_timer_(loop) {
  service_.SetOnUnreachable([this] { CheckReachability(); });
  if (settings.peers) {
    peers_ = std::make_unique<HttpServer>(
        std::vector<asio::io_context*>{&loop},
        CallerOptions(*settings.peers, client_memory_, descriptors_.peer_callers),
        [this](HttpRequest request, HttpResponder respond) {
          HandlePeer(std::move(request), std::move(respond));
        });
  }
  if (settings.metrics) {
    metrics_ = std::make_unique<HttpServer>(
        std::vector<asio::io_context*>{&loop},
        InternalServerOptions(*settings.metrics, client_memory_, descriptors_.metrics),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          request.target == kStatePath ? HandleState(respond) : HandleMetrics(respond);
        });
  }
}

absl::Status ForwardServer::Start() {
  if (absl::Status status = callers_.Start(); !status.ok()) return status;
  if (absl::Status status = ready_.Start(); !status.ok()) return status;
  if (peers_) {
    if (absl::Status status = peers_->Start(); !status.ok()) return status;
  }
  if (metrics_) {
    if (absl::Status status = metrics_->Start(); !status.ok()) return status;
  }
  started_ = SteadyClock().Now();
  SetNodes(nodes_);
  window_timer_.expires_after(settings_.budget_window);
  window_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SetNodes(nodes_);
  });
  LogLine(LogLevel::kInfo, "node started")
      .Field("node", settings_.node)
      .Field("zone", settings_.zone)
      .Field("callers", FormatEndpoint(settings_.callers))
      .Field("store", FormatEndpoint(settings_.store));
  return absl::OkStatus();
}

void ForwardServer::Apply(const ForwardNodeSettings& settings) {
  LogLine(LogLevel::kInfo, "settings reloaded")
      .Field("store", FormatEndpoint(settings.store))
      .Field("budget_ratio", settings.budget_ratio)
      .Field("budget_slack", settings.budget_slack)
      .Field("grace_ms", settings.grace.count());
  settings_ = settings;
  SetNodes(nodes_);
}

bool ForwardServer::InstallRoutes(RoutingDocument document) {
  ClientLimits limits = document.client_limits;
  bool was_ready = IsReady();
  if (!service_.forwarding_state().InstallRoutes(std::move(document))) return false;
  callers_.SetClientLimits(limits);
  if (peers_) {
    ClientLimits peer_limits;
    peer_limits.max_header_fields = limits.max_header_fields + kPeerHeaderFields;
    peer_limits.max_header_bytes = limits.max_header_bytes + kPeerHeaderBytes;
    peer_limits.max_body_bytes = std::max(limits.max_body_bytes, kMaxCrashPageBytes);
    peers_->SetClientLimits(peer_limits);
  }
  if (!was_ready && IsReady()) LogLine(LogLevel::kInfo, "node ready");
  return true;
}

void ForwardServer::SetNodes(int nodes) {
  nodes_ = nodes;
  ExtraBudgetOptions budget;
  budget.window = settings_.budget_window;
  budget.ratio = settings_.budget_ratio * kRatioFraction;
  bool first_window = SteadyClock().Now() < started_ + settings_.budget_window;
  double fraction = first_window ? kFirstWindowSlackFraction : kSlackFraction;
  budget.node_slack = settings_.budget_slack * fraction / nodes;
  service_.SetSharedLimits(nodes, budget);
}

void ForwardServer::HandleReady(const HttpRequest& request, const HttpResponder& respond) {
  service_.ProbeZonesWithoutContact();
  CheckReachability();
  HttpResponse response;
  response.content_type = "text/plain";
  if (request.target != settings_.ready_path) {
    response.status = 404;
  } else {
    bool ready = IsReady();
    response.status = ready ? 200 : 503;
    response.body = ready ? "ready\n" : "not ready\n";
  }
  respond(std::move(response));
}

void ForwardServer::CheckReachability() {
  TimePoint now = SteadyClock().Now();
  if (now < next_reachability_check_) return;
  next_reachability_check_ = now + kReachabilityCheckInterval;
  service_.forwarding_state().LogUnreachableZones(now);
  if (isolation_.OnShardsReachable(service_.HasEnoughReachableShards(), now)) {
    store_.probe([this](bool reached) {
      isolation_.OnStoreProbed(reached);
      ApplyIsolation();
    });
  }
  ApplyIsolation();
}

void ForwardServer::OnStoreReached(bool reached) {
  isolation_.OnStoreReachable(reached);
  ApplyIsolation();
}

// An isolated node also closes open connections after their responses, so that their callers
// connect to other nodes.
void ForwardServer::ApplyIsolation() {
  if (isolation_.is_isolated() == isolated_) return;
  isolated_ = isolation_.is_isolated();
  LogLine(LogLevel::kWarning, isolated_ ? "node cut off, not ready" : "node no longer cut off")
      .Field("backends", service_.forwarding_state().backends().size())
      .Field("active", service_.active());
  if (!stopping_) callers_.CloseAfterResponses(isolated_);
}

void ForwardServer::HandleMetrics(const HttpResponder& respond) const {
  Exposition page;
  service_.metrics().WriteTo(page);
  service_.WriteTenantMetrics(page);
  if (settings_.cpu_quota) {
    page.Family("damaskroute_forward_busy_refusals_total", "counter",
                "Queries refused because this node had too little processor time.");
    page.Sample("", static_cast<double>(service_.busy_refusals()));
  }
  page.Family("damaskroute_forward_active_requests", "gauge", "Requests that are served now.");
  page.Sample("", static_cast<double>(service_.active()));
  page.Family("damaskroute_forward_backends", "gauge", "Backend servers that are known.");
  page.Sample("", static_cast<double>(service_.forwarding_state().backends().size()));
  page.Family("damaskroute_forward_rate_limited_backends", "gauge",
              "Backend servers that state a rate limit.");
  page.Sample("", static_cast<double>(service_.forwarding_state().backends().CountRateLimited()));
  page.Family("damaskroute_forward_suspect_requests", "gauge",
              "Requests under which servers may have crashed.");
  page.Sample("", static_cast<double>(service_.crash_guard().suspects()));
  page.Family("damaskroute_forward_blocked_requests", "gauge",
              "Requests that are refused because servers crashed under them.");
  page.Sample("", static_cast<double>(service_.crash_guard().blocked(SteadyClock().Now())));
  page.Family("damaskroute_forward_routes_version", "gauge", "Version of the routes in force.");
  page.Sample("", static_cast<double>(service_.forwarding_state().routes_version()));
  if (settings_.revocation_bound) {
    auto age = store_.configuration_age();
    page.Family("damaskroute_forward_configuration_age_seconds", "gauge",
                "Age of the configuration at the store; -1 if it is unknown.");
    page.Sample("", age ? std::chrono::duration<double>(*age).count() : -1);
  }
  service_.WriteRolloutMetrics(page);
  page.Family("damaskroute_forward_connects_total", "counter", "Connections opened to servers.");
  page.Sample("", static_cast<double>(service_.forwarding_state().pool().connect_count()));
  service_.WriteQuotaMetrics(page);
  WriteClientMetrics(page);
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = page.text();
  respond(std::move(response));
}

const char* ForwardServer::ReadinessText() const {
  if (stopping_) return "no: stopping";
  if (isolated_) return "no: cut off";
  return IsReady() ? "yes" : "no: no routes";
}

void ForwardServer::HandleState(const HttpResponder& respond) const {
  TimePoint now = SteadyClock().Now();
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "node", settings_.node);
  WriteText(writer, "zone", settings_.zone);
  WriteText(writer, "ready", ReadinessText());
  WriteText(writer, "followed", store_.followed());
  WriteInteger(writer, "store_confirmed_ms",
               std::chrono::duration_cast<milliseconds>(store_.age()).count());
  if (settings_.revocation_bound) {
    auto age = store_.configuration_age();
    WriteInteger(writer, "configuration_age_ms",
                 age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1);
  }
  WriteInteger(writer, "nodes", nodes_);
  WriteInteger(writer, "active_requests", static_cast<std::int64_t>(service_.active()));
  WriteInteger(writer, "routes_version",
               static_cast<std::int64_t>(service_.forwarding_state().routes_version()));
  service_.WriteState(writer, now);
  writer.EndObject();
  HttpResponse response;
  response.body = buffer.GetString();
  respond(std::move(response));
}

void ForwardServer::Stop(std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  done_ = std::move(done);
  stop_at_ = SteadyClock().Now() + settings_.grace - kKillMargin;
  LogLine(LogLevel::kInfo, "node stopping").Field("active", service_.active());
  callers_.CloseAfterResponses(true);
  if (peers_) peers_->CloseAfterResponses(true);
  stop_timer_.expires_after(std::min(kBalancerRemovalDelay, settings_.grace / 2));
  stop_timer_.async_wait([this](const boost::system::error_code&) { StopAccepting(); });
}

void ForwardServer::StopAccepting() {
  callers_.BeginDrain();
  if (peers_) peers_->BeginDrain();
  AwaitActiveRequests();
}

// Refuses further requests, as their responses might be truncated when the process exits.
void ForwardServer::FinishStop() {
  refusing_ = true;
  LogLine(LogLevel::kInfo, "node stopped").Field("active", service_.active());
  stop_timer_.expires_after(kLastResponseTime);
  stop_timer_.async_wait([this](const boost::system::error_code&) { done_(); });
}

void ForwardServer::HandleCaller(HttpRequest request, HttpResponder respond) {
  if (refusing_) return service_.Refuse(std::move(request), "the node ends", respond);
  service_.Handle(std::move(request), std::move(respond));
}

void ForwardServer::HandlePeer(HttpRequest request, HttpResponder respond) {
  auto respond_and_keep = [respond = std::move(respond)](HttpResponse response) {
    response.headers.push_back({"Keep-Alive", kPeerKeepAlive});
    respond(std::move(response));
  };
  if (FindHeader(request.headers, kCrashPageHeader) != nullptr) {
    return service_.HandleCrashPage(request, respond_and_keep);
  }
  if (refusing_) return service_.RefuseFromPeer(std::move(request), respond_and_keep);
  service_.HandleFromPeer(std::move(request), std::move(respond_and_keep));
}

std::size_t ForwardServer::ActiveRequests() const {
  return callers_.active_requests() + (peers_ ? peers_->active_requests() : 0);
}

void ForwardServer::AwaitActiveRequests() {
  bool expired = SteadyClock().Now() >= stop_at_;
  if (expired) service_.AbortAll();
  if (ActiveRequests() == 0 || expired) return FinishStop();
  stop_timer_.expires_after(kActiveRequestPollInterval);
  stop_timer_.async_wait([this](const boost::system::error_code&) { AwaitActiveRequests(); });
}

}  // namespace damaskroute

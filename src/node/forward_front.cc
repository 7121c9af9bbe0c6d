#include "damaskroute/node/forward_front.h"

#include <algorithm>
#include <utility>

#include "damaskroute/log/log_line.h"
#include "damaskroute/metrics/exposition.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Part of the shortest bound for which changes may gather in the store. The rest covers a slow
// store, a lost call and its repeat.
constexpr double kGatherPart = 0.4;

// Time kept for the call that brings a node up to date after its watch was found to be dead.
constexpr milliseconds kRecoveryTime{500};

constexpr milliseconds kLeastWatchWait{500};

// The balancer asks each second and takes a node out after two misses.
constexpr milliseconds kBalancerDelay{3000};

// Requests that still run are answered this long before the process is killed.
constexpr milliseconds kEndMargin{500};

constexpr milliseconds kEndCheck{20};

// Many servers are lost at the same moment, and one look at all shards is enough.
constexpr milliseconds kReachCheckInterval{100};

// For the last answers to reach their callers.
constexpr milliseconds kLastAnswers{100};

// Of the constant part of the limit on extra calls, a node uses this part of its share. In its
// first window a process uses less: one that ran before it may have used up the larger part. Both
// together leave room for nodes that have joined and are not counted yet.
constexpr double kSlackPart = 0.7;
constexpr double kFirstSlackPart = 0.25;

// Of the ratio, a node uses this part, as the other side counts by its own clock.
constexpr double kRatioPart = 0.95;

// Served beside the metrics; read by `damaskctl beliefs`.
constexpr char kBeliefsPath[] = "/v1/beliefs";

// Connections to the ready and metrics ports.
constexpr std::size_t kSmallServerConnections = 32;

HttpServerOptions CallerOptions(const ForwardNodeSettings& settings) {
  HttpServerOptions options;
  options.listen = settings.callers;
  options.pass_headers = true;
  options.watch_callers = true;
  return options;
}

HttpServerOptions SmallServer(const Endpoint& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_connections = kSmallServerConnections;
  options.limits.max_body_bytes = 1024;
  return options;
}

}  // namespace

FeedOptions MakeFeedOptions(const ForwardNodeSettings& settings) {
  FeedOptions options;
  auto bound = std::min({settings.config_bound, settings.drain_bound, settings.evacuate_bound});
  options.gather = std::chrono::duration_cast<milliseconds>(bound * kGatherPart);
  options.watch_wait =
      std::max(settings.contact_bound - options.watch_slack - kRecoveryTime, kLeastWatchWait);
  // What is learnt from a followed node must leave time for calls to the store within the bound.
  auto longest = std::chrono::duration_cast<milliseconds>(bound) - kRecoveryTime;
  options.longest_age = std::min(options.watch_wait + options.watch_slack, longest);
  return options;
}

ForwardFront::ForwardFront(asio::io_context& loop, const ForwardNodeSettings& settings,
                           const ForwardProtocol& protocol, std::uint64_t seed)
    : settings_(settings),
      service_(loop,
               {.backends = {.own_zone = settings.zone,
                             .cold_overshoot = settings.cold_overshoot,
                             .cold_slack = settings.cold_slack},
                .seed = seed},
               protocol),
      callers_({&loop}, CallerOptions(settings),
               [this](HttpRequest request, HttpResponder respond) {
                 HandleCaller(std::move(request), std::move(respond));
               }),
      ready_({&loop}, SmallServer(settings.ready),
             [this](const HttpRequest& request, const HttpResponder& respond) {
               HandleReady(request, respond);
             }),
      window_timer_(loop),
      stop_timer_(loop) {
  service_.SetOnUnreachable([this] { CheckReach(); });
  if (settings.metrics) {
    metrics_ = std::make_unique<HttpServer>(
        std::vector<asio::io_context*>{&loop}, SmallServer(*settings.metrics),
        [this](const HttpRequest& request, const HttpResponder& respond) {
          request.target == kBeliefsPath ? HandleBeliefs(respond) : HandleMetrics(respond);
        });
  }
}

absl::Status ForwardFront::Start() {
  if (absl::Status status = callers_.Start(); !status.ok()) return status;
  if (absl::Status status = ready_.Start(); !status.ok()) return status;
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

void ForwardFront::Apply(const ForwardNodeSettings& settings) {
  LogLine(LogLevel::kInfo, "settings reloaded")
      .Field("store", FormatEndpoint(settings.store))
      .Field("budget_ratio", settings.budget_ratio)
      .Field("budget_slack", settings.budget_slack)
      .Field("grace_ms", settings.grace.count());
  settings_ = settings;
  SetNodes(nodes_);
}

void ForwardFront::InstallRoutes(RoutingDocument document) {
  ClientLimits limits = document.client_limits;
  bool was_ready = IsReady();
  if (!service_.beliefs().InstallRoutes(std::move(document))) return;
  callers_.SetClientLimits(limits);
  if (!was_ready && IsReady()) LogLine(LogLevel::kInfo, "node ready");
}

void ForwardFront::SetClosedZones(const std::set<ZoneName>& zones) {
  service_.beliefs().SetClosedZones(zones);
}

void ForwardFront::SetNodes(int nodes) {
  nodes_ = nodes;
  ExtraBudgetOptions budget;
  budget.window = settings_.budget_window;
  budget.ratio = settings_.budget_ratio * kRatioPart;
  bool first_window = SteadyClock().Now() < started_ + settings_.budget_window;
  double part = first_window ? kFirstSlackPart : kSlackPart;
  budget.node_slack = settings_.budget_slack * part / nodes;
  service_.SetShares(nodes, budget);
}

void ForwardFront::HandleReady(const HttpRequest& request, const HttpResponder& respond) {
  service_.ProbeQuietZones();
  CheckReach();
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

void ForwardFront::CheckReach() {
  TimePoint now = SteadyClock().Now();
  if (now < next_reach_check_) return;
  next_reach_check_ = now + kReachCheckInterval;
  service_.beliefs().NoteLostZones(now);
  if (isolation_.OnShards(service_.ReachesShards(), now)) {
    store_.probe([this](bool reached) {
      isolation_.OnProbe(reached);
      ApplyReach();
    });
  }
  ApplyReach();
}

void ForwardFront::OnStoreReached(bool reached) {
  isolation_.OnStore(reached);
  ApplyReach();
}

// Callers on open connections are sent to other nodes as well.
void ForwardFront::ApplyReach() {
  if (isolation_.is_cut_off() == cut_off_) return;
  cut_off_ = isolation_.is_cut_off();
  LogLine(LogLevel::kWarning, cut_off_ ? "node cut off, not ready" : "node no longer cut off")
      .Field("backends", service_.beliefs().backends().size())
      .Field("active", service_.active());
  if (!stopping_) callers_.CloseAfterResponses(cut_off_);
}

void ForwardFront::HandleMetrics(const HttpResponder& respond) const {
  Exposition page;
  service_.metrics().WriteTo(page);
  page.Family("damaskroute_forward_active_requests", "gauge", "Requests that are served now.");
  page.Sample("", static_cast<double>(service_.active()));
  page.Family("damaskroute_forward_backends", "gauge", "Backend servers that are known.");
  page.Sample("", static_cast<double>(service_.beliefs().backends().size()));
  page.Family("damaskroute_forward_routes_version", "gauge", "Version of the routes in force.");
  page.Sample("", static_cast<double>(service_.beliefs().routes_version()));
  page.Family("damaskroute_forward_connects_total", "counter", "Connections opened to servers.");
  page.Sample("", static_cast<double>(service_.beliefs().pool().connects()));
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = page.text();
  respond(std::move(response));
}

const char* ForwardFront::ReadyText() const {
  if (stopping_) return "no: stopping";
  if (cut_off_) return "no: cut off";
  return IsReady() ? "yes" : "no: no routes";
}

void ForwardFront::HandleBeliefs(const HttpResponder& respond) const {
  TimePoint now = SteadyClock().Now();
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  WriteText(writer, "node", settings_.node);
  WriteText(writer, "zone", settings_.zone);
  WriteText(writer, "ready", ReadyText());
  WriteText(writer, "followed", store_.followed());
  WriteInteger(writer, "store_confirmed_ms",
               std::chrono::duration_cast<milliseconds>(store_.age()).count());
  WriteInteger(writer, "nodes", nodes_);
  WriteInteger(writer, "active_requests", static_cast<std::int64_t>(service_.active()));
  WriteInteger(writer, "routes_version",
               static_cast<std::int64_t>(service_.beliefs().routes_version()));
  service_.WriteBeliefs(writer, now);
  writer.EndObject();
  HttpResponse response;
  response.body = buffer.GetString();
  respond(std::move(response));
}

void ForwardFront::Stop(std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  done_ = std::move(done);
  stop_at_ = SteadyClock().Now() + settings_.grace - kEndMargin;
  LogLine(LogLevel::kInfo, "node stopping").Field("active", service_.active());
  callers_.CloseAfterResponses(true);
  stop_timer_.expires_after(std::min(kBalancerDelay, settings_.grace / 2));
  stop_timer_.async_wait([this](const boost::system::error_code&) { StopAccepting(); });
}

void ForwardFront::StopAccepting() {
  callers_.BeginDrain();
  AwaitEnd();
}

// What still arrives is refused and not begun, as its answer could be cut off.
void ForwardFront::End() {
  ending_ = true;
  LogLine(LogLevel::kInfo, "node stopped").Field("active", service_.active());
  stop_timer_.expires_after(kLastAnswers);
  stop_timer_.async_wait([this](const boost::system::error_code&) { done_(); });
}

void ForwardFront::HandleCaller(HttpRequest request, HttpResponder respond) {
  if (ending_) return service_.Refuse(std::move(request), "the node ends", respond);
  service_.Handle(std::move(request), std::move(respond));
}

void ForwardFront::AwaitEnd() {
  bool over = SteadyClock().Now() >= stop_at_;
  if (over) service_.FinishAll();
  if (callers_.active_requests() == 0 || over) return End();
  stop_timer_.expires_after(kEndCheck);
  stop_timer_.async_wait([this](const boost::system::error_code&) { AwaitEnd(); });
}

}  // namespace damaskroute

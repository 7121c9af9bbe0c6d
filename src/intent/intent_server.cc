#include "damaskroute/intent/intent_server.h"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>

#include "cpprest/http_listener.h"
#include "damaskroute/intent/bearer_token.h"
#include "damaskroute/intent/intent_replies.h"
#include "fmt/format.h"
#include "pplx/threadpool.h"

namespace damaskroute {
namespace {

using web::http::experimental::listener::http_listener;

constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr std::size_t kMinTokenBytes = 16;
// There are few operators, so more queued requests mean that the store does not respond.
constexpr std::size_t kMaxQueuedOperations = 32;

void Send(const web::http::http_request& request, const HttpResponse& reply) {
  web::http::http_response response(static_cast<web::http::status_code>(reply.status));
  response.set_body(reply.body, reply.content_type);
  if (reply.status == 401) response.headers().add("WWW-Authenticate", "Bearer");
  request.reply(response).then([](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception&) {
      // The operator closed the connection.
    }
  });
}

HttpResponse NotFoundReply(const std::string& method, const std::string& path) {
  return ProblemReply(404, "not_found", "No such resource", fmt::format("{} {}", method, path),
                      "See the section on the operators' interface in docs/design.md.");
}

// Runs tasks one at a time on its own thread, so that tasks that block on the store do not occupy
// threads of the pool, which the store client needs as well.
class Worker {
 public:
  Worker() : thread_([this] { Run(); }) {}

  ~Worker() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    ready_.notify_one();
    thread_.join();
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// False if the queue is full or the worker is stopping.
  bool Post(std::function<void()> task) {
    {
      std::lock_guard lock(mutex_);
      if (stopping_ || tasks_.size() >= kMaxQueuedOperations) return false;
      tasks_.push_back(std::move(task));
    }
    ready_.notify_one();
    return true;
  }

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      ready_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace

class IntentServer::Impl {
 public:
  Impl(IntentServerSettings settings, IntentOperations operations)
      : settings_(std::move(settings)),
        operations_(std::move(operations)),
        listener_(web::uri(fmt::format("http://{}", FormatEndpoint(settings_.address)))) {
    listener_.support([this](const web::http::http_request& request) { Handle(request); });
  }

  void Open() { listener_.open().get(); }

  void Close() {
    try {
      listener_.close().get();
    } catch (const std::exception&) {
      // Nothing to clean up: the listener is destroyed in any case.
    }
  }

 private:
  void Handle(const web::http::http_request& request) {
    try {
      const web::http::http_headers& headers = request.headers();
      std::string authorization;
      headers.match("Authorization", authorization);
      if (!MatchesBearerToken(authorization, settings_.token)) {
        Send(request, ProblemReply(401, "unauthorized", "The token is missing or wrong", "",
                                   "Send the operators' token as a bearer token."));
        return;
      }
      if (request.method() == web::http::methods::GET) {
        Get(request, request.relative_uri().path());
      } else if (request.method() == web::http::methods::POST) {
        Post(request, request.relative_uri().path());
      } else {
        Send(request, ProblemReply(405, "method_not_allowed", "Only GET and POST are supported",
                                   request.method(), "Use GET or POST."));
      }
    } catch (const std::exception& error) {
      Send(request, ProblemReply(400, "invalid_request", "The request is malformed", error.what(),
                                 "Correct the request."));
    }
  }

  void Get(const web::http::http_request& request, const std::string& path) {
    const char* json = "application/json";
    if (path == "/v1/history") {
      Run(request, operations_.history);
    } else if (path == "/v1/config") {
      Send(request, operations_.config());
    } else if (path == "/v1/status" && operations_.status) {
      Send(request, {200, json, operations_.status()});
    } else if (path == "/v1/burn" && operations_.burn) {
      Send(request, {200, json, operations_.burn()});
    } else if (path == "/v1/burn.html" && operations_.burn_html) {
      Send(request, {200, "text/html; charset=utf-8", operations_.burn_html()});
    } else if (path == "/metrics" && operations_.metrics) {
      Send(request, {200, "text/plain; version=0.0.4", operations_.metrics()});
    } else {
      Send(request, NotFoundReply("GET", path));
    }
  }

  void Post(web::http::http_request request, const std::string& path) {
    if (!request.headers().has("Content-Length")) {
      Send(request, ProblemReply(411, "length_required", "The request has no Content-Length", "",
                                 "Send Content-Length."));
      return;
    }
    if (request.headers().content_length() > kMaxBodyBytes) {
      Send(request, ProblemReply(413, "too_large", "The body is larger than 4 MB", "",
                                 "Use backend_defaults to shorten the declaration."));
      return;
    }
    std::string id = PlanIdOf(path);
    if (path != "/v1/plans" && id.empty()) {
      Send(request, NotFoundReply("POST", path));
      return;
    }
    bool is_yaml = request.headers().content_type().find("yaml") != std::string::npos;
    request.extract_utf8string(true).then([this, request, id,
                                           is_yaml](const pplx::task<std::string>& extracted) {
      std::string body;
      try {
        body = extracted.get();
      } catch (const std::exception& error) {
        Send(request, ProblemReply(400, "invalid_request", "The body cannot be decoded",
                                   error.what(), "Send the body as UTF-8."));
        return;
      }
      Run(request, [this, id, is_yaml, body] {
        return id.empty() ? operations_.make_plan(body, is_yaml) : operations_.confirm(id, body);
      });
    });
  }

  // ID of `/v1/plans/ID/confirm`, empty for other paths.
  static std::string PlanIdOf(const std::string& path) {
    const std::string prefix = "/v1/plans/";
    const std::string suffix = "/confirm";
    if (path.size() <= prefix.size() + suffix.size()) return "";
    if (path.compare(0, prefix.size(), prefix) != 0) return "";
    std::size_t end = path.size() - suffix.size();
    if (path.compare(end, suffix.size(), suffix) != 0) return "";
    std::string id = path.substr(prefix.size(), end - prefix.size());
    return id.find('/') == std::string::npos ? id : "";
  }

  void Run(const web::http::http_request& request, std::function<HttpResponse()> operation) {
    bool posted = worker_.Post([request, operation = std::move(operation)] {
      try {
        Send(request, operation());
      } catch (const std::exception& error) {
        Send(request, ProblemReply(500, "internal", "The request failed", error.what(),
                                   "Look at the node's log and try another node."));
      }
    });
    if (!posted) {
      Send(request, ProblemReply(503, "busy", "Too many requests wait", "",
                                 "Nothing has changed. Send it again later."));
    }
  }

  IntentServerSettings settings_;
  IntentOperations operations_;
  http_listener listener_;
  Worker worker_;
};

IntentServer::IntentServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

IntentServer::~IntentServer() { impl_->Close(); }

absl::StatusOr<std::unique_ptr<IntentServer>> IntentServer::Start(IntentServerSettings settings,
                                                                  IntentOperations operations) {
  if (settings.token.size() < kMinTokenBytes) {
    return absl::InvalidArgumentError("expected an operators' token of at least 16 bytes");
  }
  try {
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.threads));
  } catch (const std::exception&) {
    // Another part of the process has already created the pool; its size cannot be changed.
  }
  std::string address = FormatEndpoint(settings.address);
  try {
    auto impl = std::make_unique<Impl>(std::move(settings), std::move(operations));
    impl->Open();
    return std::unique_ptr<IntentServer>(new IntentServer(std::move(impl)));
  } catch (const std::exception& error) {
    return absl::UnavailableError(
        fmt::format("cannot listen for operators on {}: {}", address, error.what()));
  }
}

}  // namespace damaskroute

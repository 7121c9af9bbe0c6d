#include "damaskroute/node/forward_server.h"

namespace damaskroute {

void ForwardServer::WriteClientMetrics(Exposition& page) const {
  page.Family("damaskroute_client_memory_bytes", "gauge", "Memory that clients hold.");
  page.Sample("", static_cast<double>(client_memory_->held()));
  page.Family("damaskroute_client_memory_limit_bytes", "gauge",
              "Most memory that clients may hold.");
  page.Sample("", static_cast<double>(client_memory_->limit()));
  page.Family("damaskroute_client_closed_for_memory_total", "counter",
              "Connections of clients that were closed because clients held too much memory.");
  page.Sample("", static_cast<double>(client_memory_->evictions()));
  page.Family("damaskroute_client_refused_for_memory_total", "counter",
              "Requests refused because clients held too much memory.");
  page.Sample("", static_cast<double>(client_memory_->refusals()));
  struct Port {
    const char* name;
    const HttpServer* server;
  };
  const Port ports[] = {{"callers", &callers_},
                        {"ready", &ready_},
                        {"peers", peers_.get()},
                        {"metrics", metrics_.get()}};
  auto family = [&](const char* name, const char* type, const char* help, auto value) {
    page.Family(name, type, help);
    for (const Port& port : ports) {
      if (port.server == nullptr) continue;
      page.Sample(Exposition::Label("port", port.name), static_cast<double>(value(*port.server)));
    }
  };
  family("damaskroute_client_connections", "gauge", "Open connections of clients by port.",
         [](const HttpServer& server) { return server.open_connections(); });
  family("damaskroute_client_closed_for_connections_total", "counter",
         "Connections of clients that were closed for new ones.",
         [](const HttpServer& server) { return server.displaced_connections(); });
  family("damaskroute_client_rejected_requests_total", "counter",
         "Requests that the port refused by itself.",
         [](const HttpServer& server) { return server.rejected_requests(); });
}

}  // namespace damaskroute

#ifndef TESTS_SUPPORT_KEYED_NODE_H_
#define TESTS_SUPPORT_KEYED_NODE_H_

#include <atomic>
#include <future>
#include <string>
#include <vector>

#include "tests/support/platform_fixture.h"

namespace damaskroute {

/// A node whose configuration has the tenants `acme`, with the key `key-acme`, and `other`. The
/// route `/new/` is public.
struct KeyedNode : PlatformFixture {
  static constexpr char kKey[] = "key-acme";
  static constexpr char kOtherKey[] = "key-other";

  explicit KeyedNode(std::chrono::milliseconds revocation_bound = {}) {
    if (revocation_bound.count() > 0) settings.revocation_bound = revocation_bound;
    store.Write(platform::kConfigKey, KeyedConfig(1, kKey));
  }

  /// The configuration, in which `acme` has the key `key`.
  static std::string KeyedConfig(int version, const std::string& key) {
    std::string text = Config(version, 0.6, "new");
    std::string name = R"("name":"rnew",)";
    text.insert(text.find(name) + name.size(), R"("public":true,)");
    text.pop_back();
    return text + fmt::format(R"(,"tenants":[{{"name":"acme","apiKeys":["{}"]}},)"
                              R"({{"name":"other","apiKeys":["{}"],"priority":0}}]}})",
                              key, kOtherKey);
  }

  /// Adds a server of each service.
  void AddServers() {
    for (const char* service : {"desk", "s0", "s1", "s2"}) {
      AddServer(std::string("i-") + service, service).SetEcho();
    }
  }

  /// A request with additional header lines.
  static std::string RenderWith(const std::string& target, const std::string& header_lines,
                                const std::string& id = "id-1") {
    std::string text = Render("GET", target, id);
    return text.substr(0, text.size() - 2) + header_lines + "\r\n";
  }

  HttpTestClient::Response Send(const std::string& target, const std::string& header_lines) {
    HttpTestClient client(settings.callers);
    client.SendRaw(RenderWith(target, header_lines, fmt::format("id-{}", next_id_++)));
    return client.Receive();
  }

  HttpTestClient::Response GetWithKey(const std::string& target, const std::string& key = kKey) {
    return Send(target, "Authorization: Token " + key + "\r\n");
  }

  /// Makes other nodes known that serve the requests of this one at `endpoint`.
  void AddPeer(const std::string& name, const Endpoint& endpoint) {
    store.Write(platform::kNodePrefix + name,
                fmt::format(R"({{"zone":"b","requests":"{}"}})", FormatEndpoint(endpoint)));
  }

  /// Headers of all requests that reached a server.
  std::vector<std::string> ServerHeaders() {
    std::vector<std::string> all;
    for (const auto& [id, server] : servers) {
      for (const auto& arrival : server->arrivals()) all.push_back(arrival.headers);
    }
    return all;
  }

  std::string Page(const std::string& path) {
    return HttpTestClient(*settings.metrics).Call("GET", path).body;
  }

 private:
  int next_id_ = 1;
};

}  // namespace damaskroute

#endif  // TESTS_SUPPORT_KEYED_NODE_H_

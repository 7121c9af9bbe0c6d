#ifndef DAMASKROUTE_NODE_OPERATOR_API_H
#define DAMASKROUTE_NODE_OPERATOR_API_H

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "damaskroute/core/snapshot.h"
#include "damaskroute/intent/intent_server.h"
#include "damaskroute/intent/intent_service.h"
#include "damaskroute/node/burn_recorder.h"
#include "damaskroute/node/node_view.h"
#include "damaskroute/settings/node_settings.h"
#include "damaskroute/store/http_store.h"

namespace damaskroute {

/// Callbacks from an `OperatorApi` to its node. They run on the server's threads.
struct OperatorApiHooks {
  std::function<std::string()> status;  ///< JSON.
  std::function<void(const ConfigDocument&)> on_committed;
};

/// The operators' API of a node: plans, confirmations, history, status, metrics and burn report on
/// the operators' address.
class OperatorApi {
 public:
  OperatorApi(const NodeSettings& settings, const Snapshot<NodeView>& view, OperatorApiHooks hooks);
  ~OperatorApi();

  /// Starts listening. Unavailable if the port is taken.
  absl::Status Start();

 private:
  std::string RenderMetrics() const;

  const NodeSettings& settings_;
  const Snapshot<NodeView>& view_;
  OperatorApiHooks hooks_;
  BurnRecorder burn_;
  HttpStore store_;
  IntentService<HttpStore> service_;
  std::unique_ptr<IntentServer> server_;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_NODE_OPERATOR_API_H

#pragma once

#include <egrettrestle/http/message.hpp>
#include <egrettrestle/store/embedded_store.hpp>

namespace egrettrestle {

/// Serves an embedded store through the paths of the etcd v3 JSON gateway that EtcdStore uses, so that tools reach a
/// stand-alone VM as they reach the platform. A path that is not the gateway's gives 404.
HttpResponse serveStoreGateway(EmbeddedStore& store, const HttpRequest& request);

} // namespace egrettrestle

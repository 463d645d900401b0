#pragma once

#include <egrettrestle/http/message.hpp>
#include <egrettrestle/store/embedded_store.hpp>

namespace egrettrestle {

/// Handles a request to an embedded store in the API of the etcd v3 JSON gateway, as far as EtcdStore uses it, so that
/// tools can access a stand-alone VM like the platform's store. Status 404 for any other path or method, 400 for a
/// malformed request.
HttpResponse serveStoreGateway(EmbeddedStore& store, const HttpRequest& request);

} // namespace egrettrestle

#include <thread>

#include <catch2/catch.hpp>

#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/http/server.hpp>
#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/store/store_gateway.hpp>

using namespace egrettrestle;

namespace {

constexpr HttpTimeouts timeouts { Milliseconds(1'000), Milliseconds(5'000) };

/// Checks what every implementation of Store must do: conditional writes of arbitrary bytes, reads by key and prefix,
/// watches.
void checkContract(Store& store)
{
    CHECK(store.read("/t/a")->modRevision == 0);
    CHECK(*store.compareAndSwap("/t/a", 0, "one"));
    CHECK_FALSE(*store.compareAndSwap("/t/a", 0, "again"));
    const StoreEntry first = *store.read("/t/a");
    CHECK(first.value == "one");
    CHECK(*store.compareAndSwap("/t/a", first.modRevision, std::string("two\0\n\xff", 6)));
    CHECK(store.read("/t/a")->value == std::string("two\0\n\xff", 6));
    CHECK_FALSE(*store.compareAndSwap("/t/a", first.modRevision, "late"));
    CHECK(*store.compareAndSwap("/t/b", 0, ""));
    CHECK(*store.compareAndSwap("/other", 0, "x"));
    const StoreSnapshot snapshot = *store.readPrefix("/t/");
    CHECK(snapshot.entries.size() == 2);

    std::atomic<bool> stop { false };
    std::vector<StoreEntry> seen;
    std::thread writer([&store] { CHECK(*store.compareAndSwap("/t/c", 0, "three")); });
    const absl::Status watched = store.watch("/t/", snapshot.revision + 1, Milliseconds(20'000), Milliseconds(0), stop, [&](const StoreEntry& entry) {
        seen.push_back(entry);
        stop = true;
    });
    writer.join();
    CHECK(watched.ok());
    REQUIRE_FALSE(seen.empty());
    CHECK(seen.front().key == "/t/c");
    CHECK(seen.front().value == "three");
}

}

TEST_CASE("all stores behave the same")
{
    EmbeddedStore embedded;

    SECTION("the embedded store")
    {
        checkContract(embedded);
    }

    SECTION("the client of the etcd v3 JSON gateway")
    {
        HttpServer server("127.0.0.1:0", {}, [&embedded](const HttpRequest& request) { return serveStoreGateway(embedded, request); });
        REQUIRE(server.start().ok());
        {
            EtcdStore store("127.0.0.1:" + std::to_string(server.port()), timeouts);
            checkContract(store);
        }
        server.stop();
    }
}

// Callers must know whether a failed write can have taken effect.
TEST_CASE("store failures have specific error numbers")
{
    SECTION("a refused connection")
    {
        EtcdStore store("127.0.0.1:1", timeouts);
        CHECK(errorCode(store.read("/a").status()) == platformErrors::storeUnreachable);
    }

    SECTION("a lost reply and invalid replies")
    {
        struct ReplyCase {
            bool drop;
            int status;
            const char* body;
            int number;
        };
        const std::vector<ReplyCase> cases {
            { true, 200, "", platformErrors::storeOutcomeUnknown },
            { false, 500, "{}", platformErrors::storeBadReply },
            { false, 200, "nonsense", platformErrors::storeBadReply },
            { false, 200, "[]", platformErrors::storeBadReply },
        };
        for (const ReplyCase& item : cases) {
            HttpServer server("127.0.0.1:0", {}, [&item](const HttpRequest&) {
                HttpResponse response;
                response.dropConnection = item.drop;
                response.status = item.status;
                response.body = item.body;
                return response;
            });
            REQUIRE(server.start().ok());
            {
                EtcdStore store("127.0.0.1:" + std::to_string(server.port()), timeouts);
                CHECK(errorCode(store.read("/a").status()) == item.number);
                CHECK(errorCode(store.compareAndSwap("/a", 0, "b").status()) == item.number);
            }
            server.stop();
        }
    }
}

#include <catch2/catch.hpp>

#include <egrettrestle/wire/dispatch_messages.hpp>

#include "allocation_count.hpp"

using namespace egrettrestle;

// Guards against a tree of values for each batch: a VM of a large fleet writes more than a hundred a second.
TEST_CASE("a batch without messages is written and read without an allocation for each of its fields")
{
    DispatchBatch batch;
    batch.sender = "front-almaty-a-1";
    batch.address = "10.1.0.13:7720";
    batch.capacity.kinds.push_back({ "print-hub", "a", 2, 8, 1.5, { { 24'000, 3 }, { 40'000, 1 } } });
    batch.capacity.kinds.push_back({ "print-hub", "b", 2, 8, 1, { { 24'000, 3 }, { 40'000, 1 } } });
    batch.capacity.queues.push_back({ "print-hub", 1, 4, Milliseconds { 400 } });
    const std::size_t before = allocationCount();
    const std::string text = toText(batch, TimePoint {});
    // The text grows by doubling, and each real number is written by way of a text of its own.
    CHECK(allocationCount() - before <= 24);
    const std::size_t beforeReading = allocationCount();
    CHECK(parseDispatchBatch(text, TimePoint {}));
    // Strings and vectors of the batch, and what the parser collects texts in.
    CHECK(allocationCount() - beforeReading <= 40);
}

#include "commands.hpp"

#include <iostream>

#include <nlohmann/json.hpp>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/tools/shipping.hpp>
#include <egrettrestle/wire/manifest_json.hpp>

namespace egrettrestle::cli {

namespace {

    constexpr HttpTimeouts storeTimeouts { Milliseconds(500), Milliseconds(2'000) };

    Manifest readManifest(const std::string& path)
    {
        ManifestParseResult parse = parseManifest(readFile(path));
        if (!parse.manifest)
            throw InputError(path + ": " + std::to_string(parse.errors.size()) + " errors; docs/MANIFEST.md describes the schema\n" + toString(parse.errors));
        return *std::move(parse.manifest);
    }

    int reportShip(const ShipResult& result, const Manifest& manifest, const std::string& store)
    {
        switch (result.verdict) {
        case ShipVerdict::Shipped:
            std::cout << "shipped: change " << manifest.changeId << " is revision " << result.revision << '\n';
            return Success;
        case ShipVerdict::Conflict:
            std::cerr << "conflict, nothing was shipped: " << result.detail << "; revision " << result.revision << " is change " << result.otherChangeId << " by " << result.otherAuthor
                      << ". Next: read it with `egrettrestle manifest show --store " << store << "`, then ship again on top of it\n";
            return Conflict;
        case ShipVerdict::NotShipped:
            std::cerr << "nothing was shipped: " << result.detail << ". Next: ship it again when the store answers\n";
            return Unreachable;
        case ShipVerdict::Unknown:
            break;
        }
        std::cerr << "unknown whether the change took effect: " << result.detail << ". Next: ship the same file again; its change id " << manifest.changeId
                  << " prevents it from taking effect twice\n";
        return OutcomeUnknown;
    }

}

int manifestCheck(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle manifest check", "Validates a manifest file and prints every error.");
    options.add_options()("file", "manifest file, - for standard input", cxxopts::value<std::string>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    const Manifest manifest = readManifest(requiredOption(*result, "file"));
    std::cout << "valid: change " << manifest.changeId << ", " << manifest.services.size() << " services, " << manifest.kinds.size() << " kinds, " << manifest.callers.size() << " callers\n";
    return Success;
}

int manifestShip(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle manifest ship", "Validates a manifest and puts it in force.");
    options.add_options()("file", "manifest file, - for standard input", cxxopts::value<std::string>())("store", "address of the store, or the admin address of a VM with an embedded one", cxxopts::value<std::string>())(
        "expect", "revision that must be in force now", cxxopts::value<std::uint64_t>())("patience", "milliseconds to retry after lost replies", cxxopts::value<int>()->default_value("5000"));
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    const Manifest manifest = readManifest(requiredOption(*result, "file"));
    const std::string address = requiredOption(*result, "store");
    std::optional<std::uint64_t> expected;
    if (result->count("expect"))
        expected = (*result)["expect"].as<std::uint64_t>();
    EtcdStore store(address, storeTimeouts);
    const ShipResult shipped = shipManifest(store, manifest, expected, Milliseconds((*result)["patience"].as<int>()));
    return reportShip(shipped, manifest, address);
}

int manifestShow(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle manifest show", "Prints the manifest in the store.");
    options.add_options()("store", "address of the store, or the admin address of a VM with an embedded one", cxxopts::value<std::string>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    EtcdStore store(requiredOption(*result, "store"), storeTimeouts);
    const absl::StatusOr<StoredManifest> stored = readStoredManifest(store);
    if (!stored.ok()) {
        std::cerr << stored.status().message() << ". Next: ask a VM with `egrettrestle manifest status`\n";
        return Unreachable;
    }
    if (!stored->manifest) {
        std::cerr << "the store holds no manifest. Next: `egrettrestle manifest ship`\n";
        return NotAchieved;
    }
    std::cout << nlohmann::json::parse(manifestText(*stored->manifest)).dump(2) << '\n';
    return Success;
}

int manifestStatus(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle manifest status", "Prints the manifest revision in force on each VM.");
    options.add_options()("vms", "admin addresses of VMs, separated by commas", cxxopts::value<std::string>())("expect", "revision that each VM should have", cxxopts::value<std::uint64_t>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    HttpClient client;
    bool allMatch = true;
    for (const std::string& address : splitList(requiredOption(*result, "vms"))) {
        HttpRequest request;
        request.path = "/v1/status";
        const HttpResult reply = client.call(address, request, storeTimeouts);
        const nlohmann::json body = nlohmann::json::parse(reply.response.body, nullptr, false);
        if (!reply.ok() || !body.is_object()) {
            std::cout << address << " unreachable\n";
            allMatch = false;
            continue;
        }
        const std::uint64_t revision = body.value("manifestRevision", std::uint64_t { 0 });
        std::cout << address << ' ' << body.value("id", "") << " revision " << revision << " change " << body.value("manifestChange", "") << '\n';
        allMatch = allMatch && (!result->count("expect") || revision == (*result)["expect"].as<std::uint64_t>());
    }
    return allMatch ? Success : NotAchieved;
}

} // namespace egrettrestle::cli

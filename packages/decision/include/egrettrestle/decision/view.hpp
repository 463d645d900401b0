#pragma once

#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// A range of submission keys. All keys of a bucket share their registrar and mirror.
using Bucket = std::size_t;

inline constexpr std::size_t bucketCount = 256;

/// The bucket of a key: its highest byte.
inline Bucket bucketOf(const SubmissionKey& key) { return static_cast<Bucket>(key.high >> 56); }

/// One entry VM of a data centre, as the view lists it.
struct Member {
    VmId id;
    std::string peerAddress;
    std::string callerAddress;
    Incarnation incarnation;
    /// Set where one view spans several data centres.
    DataCentreId dataCentre = {};
    /// Its share of the upstreams in relation to the other members', above 0.
    double weight = 1;
};

/// The members of an earlier view. It lets a VM that skipped views tell which pairs they had.
struct PastView {
    Epoch epoch;
    std::vector<VmId> members;
};

/// The record that the VMs of a data centre agree on: who is in, under which epoch. Members are ordered by id.
/// Past views are ordered by epoch, without gaps up to the present epoch.
struct View {
    Epoch epoch;
    std::vector<Member> members;
    std::vector<PastView> past;
};

/// The two VMs that hold the claims of a bucket. A lone VM is a registrar without a mirror.
struct ReplicaPair {
    std::optional<VmId> primary;
    std::optional<VmId> backup;

    bool contains(const VmId& id) const { return primary == id || backup == id; }
};

/// How many past views a view record keeps.
inline constexpr std::size_t pastViewLimit = 32;

/// @name lookup
/// @{

/// Ids of a bucket's holders in rendezvous order, highest weight first. O(n log n).
std::vector<VmId> rankedMembers(const std::vector<VmId>& members, Bucket bucket);

/// The registrar and mirror of a bucket among the members named.
ReplicaPair replicasOf(const std::vector<VmId>& members, Bucket bucket);

std::vector<VmId> memberIds(const View& view);
const Member* findMember(const View& view, const VmId& id);
const Member* findMember(const View& view, Incarnation incarnation);

/// The members at an epoch, from the view itself or its past; nothing if the view does not reach back so far.
std::optional<std::vector<VmId>> membersAt(const View& view, Epoch epoch);

/// @}
/// @name changes
/// Each gives the next view: the epoch is one higher, the present members become the newest past view.
/// @{

/// The view with a VM joined. Its incarnation is the new epoch; an earlier incarnation of the same id is replaced.
View withJoined(const View& view, const VmId& id, const std::string& peerAddress, const std::string& callerAddress);

/// The view without one incarnation. A view that does not hold it is given back with the same epoch.
View withRemoved(const View& view, Incarnation incarnation);

/// @}

/// The members whose heartbeats a VM watches: the next ones after it in the ring of ids, at most `count`.
std::vector<Member> heartbeatTargets(const View& view, const VmId& self, std::size_t count);

} // namespace egrettrestle

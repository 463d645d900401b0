#pragma once

#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// A range of submission keys. All keys of a bucket have the same primary and backup.
using Bucket = std::size_t;

inline constexpr std::size_t bucketCount = 256;

/// The bucket of a key: its highest byte.
inline Bucket bucketOf(const SubmissionKey& key) { return static_cast<Bucket>(key.high >> 56); }

/// One entry VM of a data centre, as the view lists it.
struct Member {
    VmId id;
    /// Address for requests from other entry VMs.
    std::string peerAddress;
    /// Address for requests from callers.
    std::string callerAddress;
    Incarnation incarnation;
    /// Set if the view spans several data centres.
    DataCentreId dataCentre = {};
    /// Relative share of the upstreams that this member owns; greater than 0.
    double weight = 1;
};

/// The members of an earlier view, so that a VM that skipped views can compute the replicas in them.
struct PastView {
    Epoch epoch;
    std::vector<VmId> members;
};

/// The membership record that the VMs of a data centre agree on, numbered by its epoch. Members are ordered by id. Past
/// views are ordered by epoch, without gaps up to the current epoch.
struct View {
    Epoch epoch;
    std::vector<Member> members;
    std::vector<PastView> past;
};

/// The two VMs that store the claims of a bucket. A view with a single VM has a primary without a backup.
struct ReplicaPair {
    std::optional<VmId> primary;
    std::optional<VmId> backup;

    bool contains(const VmId& id) const { return primary == id || backup == id; }
};

/// Maximum number of past views in a view record; the oldest are dropped.
inline constexpr std::size_t pastViewLimit = 32;

/// @name lookup
/// @{

/// The members in the order of their rendezvous weights for a bucket, highest first; ties are ordered by id. O(n log n).
std::vector<VmId> rankedMembers(const std::vector<VmId>& members, Bucket bucket);

/// The primary and backup of a bucket among `members`.
ReplicaPair replicasOf(const std::vector<VmId>& members, Bucket bucket);

/// The ids of the members, in the order of the view.
std::vector<VmId> memberIds(const View& view);

/// The member with an id or incarnation; null if the view has none.
const Member* findMember(const View& view, const VmId& id);
const Member* findMember(const View& view, Incarnation incarnation);

/// The ids of the members at an epoch, from the view itself or its past views; nothing if it has no record of the epoch.
std::optional<std::vector<VmId>> membersAt(const View& view, Epoch epoch);

/// @}
/// @name changes
/// Each returns the next view: the epoch is incremented, and the current members become the newest past view.
/// @{

/// The view with a VM added. Its incarnation is the new epoch; an earlier incarnation of the same id is replaced.
View withJoined(const View& view, const VmId& id, const std::string& peerAddress, const std::string& callerAddress);

/// The view without one incarnation. Returns the view unchanged, with the same epoch, if it has no such member.
View withRemoved(const View& view, Incarnation incarnation);

/// The view without several incarnations, in one epoch. Returns the view unchanged if none of them is a member.
View withAllRemoved(const View& view, const std::vector<Incarnation>& incarnations);

/// @}

/// The members whose heartbeats a VM monitors: at most `count` successors in the ring of ids. Empty if `self` is not a
/// member.
std::vector<Member> heartbeatTargets(const View& view, const VmId& self, std::size_t count);

} // namespace egrettrestle

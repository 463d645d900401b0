#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace egrettrestle {

/// Strong typedef of a 64-bit number: numbers with different tags are distinct types without conversions.
template <typename Tag>
struct StrongNumber {
    std::uint64_t value = 0;

    friend bool operator==(StrongNumber left, StrongNumber right) { return left.value == right.value; }
    friend bool operator!=(StrongNumber left, StrongNumber right) { return left.value != right.value; }
    friend bool operator<(StrongNumber left, StrongNumber right) { return left.value < right.value; }
    friend bool operator>(StrongNumber left, StrongNumber right) { return left.value > right.value; }
    friend bool operator<=(StrongNumber left, StrongNumber right) { return left.value <= right.value; }
    friend bool operator>=(StrongNumber left, StrongNumber right) { return left.value >= right.value; }
};

/// The number of a data centre's membership view. It never decreases.
using Epoch = StrongNumber<struct EpochTag>;

/// Identifies one incarnation of an entry VM by the epoch at which it joined. Zero means that the VM has not joined.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// The name of an entry VM, as given in its settings.
using VmId = std::string;

/// The name of an upstream, as given in the platform's VM list.
using UpstreamId = std::string;

/// The name of a data centre, as given in the manifest.
using DataCentreId = std::string;

/// The 128-bit hash of (caller, submission id), used as the identity of a submission.
struct SubmissionKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const SubmissionKey& left, const SubmissionKey& right) { return left.high == right.high && left.low == right.low; }
    friend bool operator!=(const SubmissionKey& left, const SubmissionKey& right) { return !(left == right); }
};

/// Hashes a caller's name and submission id. Linear in the length of the texts.
SubmissionKey submissionKey(std::string_view caller, std::string_view submission);

/// Hashes the body of a job, to detect different jobs under the same submission id.
std::uint64_t bodyDigest(std::string_view body);

/// Formats a key as 32 hexadecimal digits.
std::string toHex(const SubmissionKey& key);

/// Parses a key from 32 hexadecimal digits. For any other text, returns false and leaves `key` unchanged.
bool fromHex(std::string_view text, SubmissionKey& key);

/// Hashes a text with a seed; the result is a weight for rendezvous hashing.
std::uint64_t rendezvousWeight(std::string_view text, std::uint64_t seed);

} // namespace egrettrestle

template <>
struct std::hash<egrettrestle::SubmissionKey> {
    std::size_t operator()(const egrettrestle::SubmissionKey& key) const noexcept { return key.low; }
};

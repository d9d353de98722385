// Tenants' keys, of which only digests are stored: see settings/settings.h.
#include <openssl/sha.h>

#include "settings/settings.h"

namespace gorsenotch::settings {

Digest sha256(std::string_view text) {
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

int tenant_of(const ProgramSettings& program, std::string_view key) {
    const Digest digest = sha256(key);
    int found = -1;
    // Guards against timing attacks on keys: every stored digest is compared completely.
    for (const auto& [stored, tenant] : program.keys) {
        unsigned difference = 0;
        for (std::size_t i = 0; i < digest.size(); ++i)
            difference |= static_cast<unsigned>(stored[i] ^ digest[i]);
        const int match_mask = difference == 0 ? -1 : 0;
        found = (tenant & match_mask) | (found & ~match_mask);
    }
    return found;
}

}  // namespace gorsenotch::settings

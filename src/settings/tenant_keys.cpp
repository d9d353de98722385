// Tenants' keys, of which only digests are kept: see settings/settings.h.
#include <openssl/sha.h>

#include "settings/settings.h"

namespace gorsenotch::settings {

Digest sha256(std::string_view text) {
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

int tenant_of(const Program& program, std::string_view key) {
    const Digest digest = sha256(key);
    int found = -1;
    // Guards against keys guessed by time: every stored digest is compared, and all of it.
    for (const auto& [stored, tenant] : program.keys) {
        unsigned differ = 0;
        for (std::size_t i = 0; i < digest.size(); ++i)
            differ |= static_cast<unsigned>(stored[i] ^ digest[i]);
        const int same = differ == 0 ? -1 : 0;
        found = (tenant & same) | (found & ~same);
    }
    return found;
}

}  // namespace gorsenotch::settings

package org.auburnhoist.core.configuration;

/**
 * A caller's credential; only the hash of its secret is known to the fleet.
 *
 * @param id public part of the key, which finds this record
 * @param team name of the team that the key speaks for
 * @param secretSha256 lower-case hexadecimal SHA-256 of the secret part
 * @param withdrawn whether the key has stopped being valid
 */
public record Key(String id, String team, String secretSha256, boolean withdrawn) {}
